/**
 * Runs a case: writes `record.txt` into its folder and ends with 1 if the rule was broken, 0 if it held, and 2 if the case could
 * not run.
 *
 * @module
 */
import { writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createSite } from './site.mjs'

const root = fileURLToPath(new URL('../..', import.meta.url))

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0'

/**
 * Records what became of each request that was sent.
 *
 * @param record Writes a line
 * @param results What the client saw of each request
 * @param runs Where each request ran, by its identifier; requests that didn't run are missing
 */
export function recordRequests (record, results, runs) {
  for (const { id, status, isComplete, isClosed, elapsedMs } of results) {
    const answer = isComplete ? `answered ${status}` : isClosed ? 'connection closed without a complete answer' : 'no complete answer'
    record(`sent ${id}: ${answer} after ${elapsedMs} ms; ${runs.has(id) ? `ran at ${runs.get(id)}` : 'did not run'}`)
  }
}

/**
 * Runs `play` with an empty deployment; it returns whether the rule was broken, and a sentence with the figures.
 *
 * @param folder Folder of the case
 * @param play The case
 */
export async function runCase (folder, play) {
  const startedAtMs = performance.now()
  const lines = []
  const record = line => { lines.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8)} ${line.replaceAll(root, '').replaceAll(tmpdir(), 'tmp')}`) }
  let site
  let exitCode = 2
  try {
    site = await createSite(record)
    const { isBroken, summary } = await play(site, record)
    exitCode = isBroken ? 1 : 0
    record(`${isBroken ? 'BROKEN' : 'HELD'}${hasTrouble ? '' : ' (without the disruption)'}: ${summary}`)
  } catch (error) {
    record(`COULD NOT RUN: ${error.stack}`)
  } finally {
    record('the case is over; all processes are ended')
    await site?.stop().catch(error => record(`Clean-up failed: ${error.message}`))
  }
  writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`)
  console.log(lines.filter(line => /BROKEN|HELD|COULD NOT RUN/.test(line)).join('\n'))
  process.exit(exitCode)
}
