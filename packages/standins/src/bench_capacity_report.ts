/**
 * Collects the tables of the capacity bench.
 *
 * @module
 */
import { renderTable } from './bench_part.ts'

/** Adds a table whose columns are the keys of its rows. */
export type AddTable = (title: string, rows: object[]) => void

/** Tables that were collected. */
export interface TableReport {
  /** Adds a table and prints it. */
  addTable: AddTable
  /** Renders all tables in Markdown. */
  render (): string
}

/**
 * Creates a report without tables.
 *
 * @returns The report
 */
export function createTableReport (): TableReport {
  const texts: string[] = []
  return {
    addTable (title, rows) {
      const text = `${title}\n\n${renderTable(Object.keys(rows[0] ?? {}), rows.map(row => Object.values(row)))}`
      texts.push(text)
      console.log(`\n${text}`)
    },
    render: () => texts.join('\n\n')
  }
}
