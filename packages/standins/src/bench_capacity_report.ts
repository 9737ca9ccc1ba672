/**
 * Collects the tables of the capacity benchmark.
 *
 * @module
 */
import { renderTable } from './bench_part.ts'

/** Adds a table to a report; its columns are the keys of the first row. */
export type AddTable = (title: string, rows: object[]) => void

/** A report that consists of tables. */
export interface TableReport {
  /** Adds a table and prints it. */
  addTable: AddTable
  /** Renders all tables as Markdown. */
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
