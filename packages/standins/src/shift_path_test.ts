import type { AcceptedDocument, ServiceDocument } from '@bilberryworks/steering'
import test from 'ava'
import { randomUUID } from 'node:crypto'
import { startCluster } from './cluster.ts'
import { DeploymentName, deployments } from './deployments.ts'
import { countMaxMovesInWindow, listRegionMoves } from './region_moves.ts'
import { sendSteadily } from './steady_callers.ts'

const cap = 0.1
const stepMs = 3_000
const intervalMs = 1_000
const callers = 150

test('moves no more callers to another region in a step than the shift cap allows', async t => {
  await using cluster = await startCluster(deployments[DeploymentName.Trwsio])
  const service = 'bwrdd-trwsio'
  const path = `/v1/documents/${service}`
  const current = (await cluster.callOperators(0, { method: 'GET', path })).body as AcceptedDocument
  const document: ServiceDocument = { ...current.document, regionWeights: { gogledd: 8, de: 1, canolbarth: 1 }, shiftCap: cap, shiftStepMs: stepMs }
  const sending = sendSteadily({ instances: cluster.instances.map(instance => instance.child.ready.callers), service, callers, intervalMs, durationMs: 14_000 })
  await new Promise(resolve => setTimeout(resolve, intervalMs))
  const headers = { 'if-match': `"${current.revision}"`, 'submission-id': randomUUID() }
  const put = await cluster.callOperators(1, { method: 'PUT', path, headers, body: document })
  t.is(put.status, 200)
  const { outcomes } = await sending
  const moves = listRegionMoves(await cluster.collectRuns(), cluster.targets)
  // Each caller is observed once per interval, so that the moves observed within a window happened within a window that
  // is longer by one interval. The window is therefore shorter than a step by one interval.
  const largest = countMaxMovesInWindow(moves, stepMs - intervalMs)
  // The bound is 6 standard deviations of a binomial distribution above its mean.
  const bound = cap * callers + 6 * Math.sqrt(callers * cap * (1 - cap))
  t.log({ outcomes, moves: moves.length, largest, bound })
  t.true(moves.length > cap * callers)
  t.true(largest <= bound)
  const status = await cluster.callOperators(2, { method: 'GET', path: `/v1/status/${service}` })
  const { instances, unreachable } = status.body as { instances: Array<{ revision: number }>, unreachable: string[] }
  t.deepEqual(instances.map(instance => instance.revision), cluster.instances.map(() => current.revision + 1))
  t.deepEqual(unreachable, [])
})
