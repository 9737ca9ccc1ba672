/**
 * Parts of the benchmark, and the Markdown pages on which their results are published.
 *
 * @module
 */
import { existsSync } from 'node:fs'
import { mkdir, readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'

/** A plot that a page embeds. */
export interface BenchPlot {
  /** File name, ending in `.svg`; the Markdown of the page refers to it. */
  fileName: string
  /** Content of the file. */
  svg: string
}

/** Results of a part of the benchmark. */
export interface BenchReport {
  /** The most important figures, as one paragraph on one line. */
  summary: string
  /** Tables and text in Markdown, without a first-level heading. */
  markdown: string
  /** Plots that the Markdown embeds; none by default. */
  plots?: BenchPlot[]
  /** Whether a measured rule was broken, so that the command fails; false by default. */
  hasFailed?: boolean
  /** Whether this is a trace for whoever ran the command, so that no page is written; false by default. */
  isTrace?: boolean
}

/** Options of the command, which parts that simulate fleets take. */
export interface BenchOptions {
  /** Number of instances; each part has sizes of its own by default. */
  instances?: number | undefined
  /** Number of seeds; each part has numbers of its own by default. */
  seeds?: number | undefined
  /** Number of processes at a time; 4 by default. */
  jobs?: number | undefined
  /** The only seed to run, of which a trace is printed; none by default. */
  seed?: number | undefined
  /** Log files to read; none by default. */
  files?: string[] | undefined
}

/** A part of the benchmark. */
export interface BenchPart {
  /** Name on the command line, and file name of the page without its extension. */
  name: string
  /** Heading of the page. */
  title: string
  /** Runs the measurements and returns their results. */
  run: (options: BenchOptions) => BenchReport | Promise<BenchReport>
}

const summaryLineIndex = 2

/**
 * Writes the page and the plots of a part to a folder, which is created if it is missing.
 *
 * @param part The part
 * @param options The results of the part, and the folder of the pages
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
 * Renders an index of all parts with the summaries of those whose pages exist.
 *
 * @param parts The parts, in the order of the index
 * @param folder The folder of the pages
 * @returns The index in Markdown
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
 * Renders a Markdown table.
 *
 * @param head Headings of the columns
 * @param rows Cells of each row
 * @returns The table in Markdown
 */
export function renderTable (head: string[], rows: Array<Array<string | number>>): string {
  const renderRow = (cells: Array<string | number>): string => `| ${cells.join(' | ')} |`
  return [renderRow(head), renderRow(head.map(() => '---')), ...rows.map(renderRow)].join('\n')
}
