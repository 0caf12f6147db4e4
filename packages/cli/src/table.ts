/** Formats plain-text tables. Columns are padded with spaces; columns of numbers are right-aligned. */

/** A cell of a table. */
export type Cell = string | number | boolean | undefined;

/** Formats a table of a header line and rows. */
export function formatTable(
  headers: readonly string[],
  rows: readonly (readonly Cell[])[],
): string {
  const cellTexts = rows.map(row => row.map(formatCell));
  const widths = headers.map((header, column) =>
    Math.max(header.length, ...cellTexts.map(row => row[column]?.length ?? 0)),
  );
  const numericColumns = headers.map(
    (_, column) => rows.length > 0 && rows.every(row => typeof row[column] === 'number'),
  );
  const formatLine = (cells: readonly string[]) =>
    cells
      .map((cell, column) =>
        numericColumns[column]
          ? cell.padStart(widths[column] ?? 0)
          : cell.padEnd(widths[column] ?? 0),
      )
      .join('  ')
      .trimEnd();
  return [formatLine(headers), ...cellTexts.map(formatLine)].map(text => `${text}\n`).join('');
}

/** Formats pairs of name and value, one per line. */
export function formatFields(fields: ReadonlyArray<readonly [string, Cell]>): string {
  const width = Math.max(...fields.map(([name]) => name.length));
  return fields.map(([name, value]) => `${name.padEnd(width)}  ${formatCell(value)}\n`).join('');
}

/** Formats a share from 0 to 1 as a percentage. */
export function formatShare(share: number): string {
  return `${(share * 100).toFixed(1)} %`;
}

/** Formats a time in milliseconds since the Unix epoch as UTC. */
export function formatTime(atMs: number): string {
  const date = new Date(atMs);
  return Number.isNaN(date.getTime()) ? '-' : date.toISOString().replace(/\.\d+Z$/, 'Z');
}

/** Replaces control characters, because those in an answer could manipulate the terminal. */
function formatCell(cell: Cell): string {
  if (cell === undefined) return '-';
  if (typeof cell === 'boolean') return cell ? 'yes' : 'no';
  if (typeof cell === 'number') return Number.isInteger(cell) ? String(cell) : cell.toFixed(1);
  return cell.replace(/\p{Cc}/gu, '?');
}
