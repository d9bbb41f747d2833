type Row = Readonly<Record<string, unknown>>;

const cell = (value: unknown): string =>
  typeof value === 'object' && value !== null ? JSON.stringify(value) : String(value ?? '');

/** Formats rows as a table with a header line; the columns are the keys of the first row. */
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

/** Functions that format rows, by the name of the format. */
const formats: Readonly<Record<string, (rows: readonly Row[]) => string>> = {
  json: (rows) => `${JSON.stringify(rows, null, 2)}\n`,
  table,
};

/**
 * Writes rows to a stream.
 *
 * @param stream - the stream
 * @param format - `json` or `table`; any other value means `table`
 * @param rows - rows that all have the same keys
 */
export function print(stream: NodeJS.WritableStream, format: string, rows: readonly Row[]): void {
  stream.write((formats[format] ?? formats.table)(rows));
}
