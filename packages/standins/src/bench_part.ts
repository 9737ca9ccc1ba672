/**
 * The parts of the benchmark, and the pages that they write.
 *
 * @module
 */
import { existsSync } from 'node:fs'
import { mkdir, readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'

/** A plot beside a page. */
export interface BenchPlot {
  /** Name of its file, `.svg` at its end; the page's Markdown refers to it by this name. */
  fileName: string
  /** The picture. */
  svg: string
}

/** What a part of the benchmark found. */
export interface BenchReport {
  /** One paragraph on one line: the figures that matter most. */
  summary: string
  /** Tables and text, in Markdown, without a heading of the first level. */
  markdown: string
  /** Plots that the Markdown refers to; none by default. */
  plots?: BenchPlot[]
}

/** A part of the benchmark. */
export interface BenchPart {
  /** Name on the command line and of the page. */
  name: string
  /** Heading of the page. */
  title: string
  /** Measures and reports. */
  run: () => BenchReport | Promise<BenchReport>
}

const summaryLineIndex = 2

/**
 * Writes the page of a part.
 *
 * @param part The part
 * @param options What it found, and the folder of the pages
 */
export async function writeBenchPage (part: BenchPart, options: { report: BenchReport, folder: string }): Promise<void> {
  const { report, folder } = options
  await mkdir(folder, { recursive: true })
  const commandNote = `Measured by \`npm run bench -- ${part.name}\`.`
  const text = [`# ${part.title}`, '', report.summary, '', commandNote, '', report.markdown.trimEnd(), ''].join('\n')
  await writeFile(join(folder, `${part.name}.md`), text)
  for (const plot of report.plots ?? []) await writeFile(join(folder, plot.fileName), plot.svg)
}

/**
 * Renders the index of the pages that have been written so far.
 *
 * @param parts The parts, in their order
 * @param folder The folder of the pages
 * @returns The index, in Markdown
 */
export async function renderBenchIndex (parts: BenchPart[], folder: string): Promise<string> {
  const lines = ['# Measurements', '', 'Written by `npm run bench`; `npm run bench -- NAME` measures one part again.', '']
  for (const part of parts) {
    const file = join(folder, `${part.name}.md`)
    const summary = existsSync(file) ? (await readFile(file, 'utf8')).split('\n')[summaryLineIndex] : 'Not measured yet.'
    lines.push(`## [${part.title}](measurements/${part.name}.md)`, '', summary ?? '', '')
  }
  return lines.join('\n')
}

/**
 * Renders a table in Markdown.
 *
 * @param head Names of the columns
 * @param rows Cells, row by row
 * @returns The table
 */
export function renderTable (head: string[], rows: Array<Array<string | number>>): string {
  const renderRow = (cells: Array<string | number>): string => `| ${cells.join(' | ')} |`
  return [renderRow(head), renderRow(head.map(() => '---')), ...rows.map(renderRow)].join('\n')
}
