/** Plain-text tables whose columns are aligned with spaces. */

/** Formats a header line and the rows below it. */
export function formatTextTable(
  headers: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = headers.map((header, column) =>
    Math.max(header.length, ...rows.map(row => row[column]?.length ?? 0)),
  );
  return [headers, ...rows]
    .map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  '))
    .map(line => `${line.trimEnd()}\n`)
    .join('');
}
