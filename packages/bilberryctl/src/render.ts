/**
 * Renders results as text.
 *
 * @module
 */

/**
 * Renders rows as a table with aligned columns.
 *
 * @param rows Cells by column name; the keys of the first row determine the columns
 * @returns The table with a header line
 */
export function renderTable (rows: Array<Record<string, unknown>>): string {
  const names = Object.keys(rows[0] ?? {})
  const lines = [names.map(name => name.toUpperCase()), ...rows.map(row => names.map(name => renderCell(row[name])))]
  const widths = names.map((_, column) => Math.max(...lines.map(cells => cells[column]!.length)))
  return lines.map(cells => cells.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n')
}

function renderCell (value: unknown): string {
  if (value === undefined || value === null) return '-'
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}

/**
 * Lists the differences between two JSON values.
 *
 * @param before The older value
 * @param after The newer value
 * @param pointer JSON pointer of the two values
 * @returns The JSON pointer of each difference with the older and the newer value
 */
export function diffValues (before: unknown, after: unknown, pointer = ''): Array<{ pointer: string, before: unknown, after: unknown }> {
  if (!isRecord(before) || !isRecord(after)) {
    return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ pointer: pointer === '' ? '/' : pointer, before, after }]
  }
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])]
  return names.flatMap(name => diffValues(before[name], after[name], `${pointer}/${name.replaceAll('~', '~0').replaceAll('/', '~1')}`))
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
