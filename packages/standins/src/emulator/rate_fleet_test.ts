import type { SimulateRateFleetOptions } from './rate_fleet.ts'
import test from 'ava'
import { simulateRateFleet } from './rate_fleet.ts'
import { createSeededRandom } from './seeded_random.ts'

const seeds = 20
const instances = 29

/** Simulates the fleet with each seed and lists the seeds with which more requests than allowed arrived. */
function listBreaches (title: string, createOptions: (getRandom: () => number) => Omit<SimulateRateFleetOptions, 'getRandom'>): string[] {
  return Array.from({ length: seeds }, (_, index) => `${title} ${index}`).flatMap(seed => {
    const getRandom = createSeededRandom(seed)
    const { worstShare } = simulateRateFleet({ ...createOptions(getRandom), getRandom })
    return worstShare > 1 ? [`seed "${seed}": ${worstShare.toFixed(2)} of what is allowed`] : []
  })
}

const calm = { instances, durationMs: 40_000, requestsPerSecond: 12, changes: [{ atMs: 8_000, perSecond: 1.2 }], restarts: [], delayedShare: 0 }
/** Load at which each instance always has a request for the target. */
const heavy = { ...calm, requestsPerSecond: 60 }

test('keeps to a named rate in a fleet without trouble', t => {
  t.deepEqual(listBreaches('calm', () => calm), [])
})

test('does not end a rate by a response to a request from before it was named', t => {
  t.deepEqual(listBreaches('overtaken', () => ({ ...calm, delayedShare: 0.3 })), [])
})

test('does not end a rate by old news when the target names it again', t => {
  const changes = [{ atMs: 8_000, perSecond: 1.2 }, { atMs: 18_000, perSecond: undefined }, { atMs: 20_000, perSecond: 1.2 }]
  t.deepEqual(listBreaches('again', () => ({ ...calm, changes })), [])
})

test('keeps to a named rate while instances restart in turn', t => {
  t.deepEqual(listBreaches('rolling', () => ({ ...heavy, restarts: Array.from({ length: instances }, (_, instance) => ({ atMs: 12_000 + 800 * instance, instance })) })), [])
})

test('keeps to a named rate while many instances restart at once, several times', t => {
  t.deepEqual(listBreaches('herd', getRandom => ({ ...heavy, restarts: [12_000, 19_000, 26_000].flatMap(atMs => Array.from({ length: instances }, (_, instance) => ({ atMs, instance })).filter(() => getRandom() < 0.6)) })), [])
})

test('keeps to a named rate while a third of the instances is down, again and again', t => {
  t.deepEqual(listBreaches('down', getRandom => ({ ...heavy, durationMs: 60_000, restarts: [12_000, 26_000, 40_000].flatMap(atMs => Array.from({ length: instances }, (_, instance) => ({ atMs, instance, downMs: 8_000 })).filter(() => getRandom() < 0.33)) })), [])
})

test('keeps to a named rate while the instances see different peers', t => {
  t.deepEqual(listBreaches('views', () => ({ ...heavy, durationMs: 60_000, lostHeartbeatShare: 0.85 })), [])
})

test('keeps to a rate that the target names in some responses only', t => {
  t.deepEqual(listBreaches('omitted', () => ({ ...heavy, omittedShare: 0.2 })), [])
})

test('reports that instances which take themselves for the only one exceed a named rate', t => {
  t.is(listBreaches('undivided', () => ({ ...heavy, isUndivided: true })).length, seeds)
})

test('uses most of a named rate, also if a few instances have all requests', t => {
  for (const demandShare of [1, 0.1]) {
    const { usedShare } = simulateRateFleet({ ...heavy, demandShare, getRandom: createSeededRandom(`used ${demandShare}`) })
    t.true(usedShare >= 0.7, `${usedShare.toFixed(2)} of the rate was used by ${demandShare * 100} % of the instances`)
  }
})
