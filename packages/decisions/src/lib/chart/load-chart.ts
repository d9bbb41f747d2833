import { createRequire } from 'node:module';
import { StateChart } from './state-chart.js';

const load = createRequire(import.meta.url);

type ChartName =
  'dispatch' | 'lifecycle' | 'member' | 'ownership' | 'reservation' | 'key' | 'endpoint-health';

/**
 * Loads one of the state charts in the folder `charts` of this package.
 *
 * @param name - file name without its extension
 * @returns the chart
 */
export function loadChart(name: ChartName): StateChart {
  return new StateChart(load(`../../../charts/${name}.json`) as never);
}
