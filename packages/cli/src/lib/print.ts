type Row = Readonly<Record<string, unknown>>;

const cell = (value: unknown): string =>
  typeof value === 'object' && value !== null ? JSON.stringify(value) : String(value ?? '');

function table(rows: readonly Row[]): string {
  if (rows.length === 0) return 'nothing\n';
  const columns = Object.keys(rows[0]);
  const lines = [columns, ...rows.map((row) => columns.map((column) => cell(row[column])))];
  const widths = columns.map((_, index) => Math.max(...lines.map((line) => line[index].length)));
  const format = (line: readonly string[]): string =>
    line
      .map((text, index) => text.padEnd(widths[index]))
      .join('  ')
      .trimEnd();
  return `${lines.map(format).join('\n')}\n`;
}

/** How output is written, by the name of the format. */
const formats: Readonly<Record<string, (rows: readonly Row[]) => string>> = {
  json: (rows) => `${JSON.stringify(rows, null, 2)}\n`,
  table,
};

/**
 * Writes rows.
 *
 * @param stream - where to
 * @param format - `json` or `table`
 * @param rows - rows with equal columns
 */
export function print(stream: NodeJS.WritableStream, format: string, rows: readonly Row[]): void {
  stream.write((formats[format] ?? formats.table)(rows));
}
