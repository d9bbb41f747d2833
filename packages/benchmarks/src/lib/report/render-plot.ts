import { parse, View } from 'vega';
import { compile } from 'vega-lite';
import type { TopLevelSpec } from 'vega-lite';

/**
 * Renders a plot without a browser.
 *
 * @param spec - the plot in Vega-Lite's format, with its data
 * @returns the plot as SVG
 */
export async function renderPlot(spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}
