/** Tables for people. Columns are aligned with spaces; numbers are aligned to the right. */

/** A cell of a table. */
export type Cell = string | number | boolean | undefined;

/** Formats rows below a header line. */
export function formatTable(
  headers: readonly string[],
  rows: readonly (readonly Cell[])[],
): string {
  const texts = rows.map(row => row.map(cellText));
  const widths = headers.map((header, column) =>
    Math.max(header.length, ...texts.map(row => row[column]?.length ?? 0)),
  );
  const numeric = headers.map(
    (_, column) => rows.length > 0 && rows.every(row => typeof row[column] === 'number'),
  );
  const line = (cells: readonly string[]) =>
    cells
      .map((cell, column) =>
        numeric[column] ? cell.padStart(widths[column] ?? 0) : cell.padEnd(widths[column] ?? 0),
      )
      .join('  ')
      .trimEnd();
  return [line(headers), ...texts.map(line)].map(text => `${text}\n`).join('');
}

/** Formats names and values, one pair on a line. */
export function formatFields(fields: ReadonlyArray<readonly [string, Cell]>): string {
  const width = Math.max(...fields.map(([name]) => name.length));
  return fields.map(([name, value]) => `${name.padEnd(width)}  ${cellText(value)}\n`).join('');
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

/** Control characters in an answer could change what the terminal shows; they are replaced. */
function cellText(cell: Cell): string {
  if (cell === undefined) return '-';
  if (typeof cell === 'boolean') return cell ? 'yes' : 'no';
  if (typeof cell === 'number') return Number.isInteger(cell) ? String(cell) : cell.toFixed(1);
  return cell.replace(/\p{Cc}/gu, '?');
}
