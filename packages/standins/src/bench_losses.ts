/**
 * Renders why requests were lost, from the logs of a played day.
 *
 * @module
 */
import type { BenchOptions, BenchReport } from './bench_part.ts'
import type { LogLine } from 'bilberryctl'
import { createReadStream } from 'node:fs'
import { writeFile } from 'node:fs/promises'
import { createInterface } from 'node:readline'
import { parseLogLine } from 'bilberryctl'
import { renderTable } from './bench_part.ts'
import { renderLinePlot } from './bench_plot.ts'
import { countLosses, LossCause } from './log_losses.ts'

/**
 * Reads log files and reports the losses of requests that they show.
 *
 * @param options The files; the plot is written to the first one's path with `.svg` added
 * @returns The report
 * @throws {Error} If no file is given, or one can't be read
 */
export async function runLossesBench ({ files = [] }: BenchOptions): Promise<BenchReport> {
  if (files.length === 0) throw new Error('No log file is given; usage: npm run bench -- losses FILE...')
  const lines: LogLine[] = []
  for (const file of files) {
    for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
      const line = parseLogLine(text)
      if (line !== undefined) lines.push(line)
    }
  }
  const { routes, seconds } = countLosses(lines.sort((a, b) => a.atMs - b.atMs))
  const causes = Object.values(LossCause)
  const countTotal = (counts: Map<LossCause, number>): number => [...counts.values()].reduce((sum, count) => sum + count, 0)
  const plot = renderLinePlot('Lost requests per second', causes.map(name => ({ name, values: seconds.map(counts => counts.get(name) ?? 0) })))
  await writeFile(`${files[0]!}.svg`, plot)
  return {
    summary: `${routes.reduce((sum, { counts }) => sum + countTotal(counts), 0)} requests were late, refused or failed.`,
    markdown: [
      renderTable(['route', ...causes, 'reasons'], routes.map(({ route, counts, reasons }) => [route, ...causes.map(cause => counts.get(cause) ?? 0), [...reasons].map(([reason, count]) => `${reason} ${count}`).join(', ')])),
      '',
      renderTable(['second', ...causes], seconds.flatMap((counts, second) => countTotal(counts) === 0 ? [] : [[second, ...causes.map(cause => counts.get(cause) ?? 0)]]))
    ].join('\n')
  }
}
