import type { CrashFleetResult, SimulateCrashFleetOptions } from './crash_fleet.ts'
import test from 'ava'
import { simulateCrashFleet } from './crash_fleet.ts'
import { createSeededRandom } from './seeded_random.ts'

function runSeeds (title: string, seeds: number, options: Omit<SimulateCrashFleetOptions, 'getRandom'>): CrashFleetResult[] {
  return Array.from({ length: seeds }, (_, index) => simulateCrashFleet({ ...options, getRandom: createSeededRandom(`${title} ${index}`) }))
}

for (const [title, size] of [['7 instances', { instances: 7, targets: 20, requestIntervalMs: 25 }], ['29 instances', { instances: 29, targets: 120, requestIntervalMs: 8 }]] as const) {
  for (const crashingIntervalMs of [80, 400, 2_000]) {
    test(`${title} stop sending a request that crashes targets and is repeated every ${crashingIntervalMs} ms, and few others`, t => {
      const results = runSeeds(`${title} ${crashingIntervalMs}`, 10, { ...size, crashingIntervalMs })
      t.deepEqual(results.filter(({ lateRetries }) => lateRetries > 3), [])
      const [sent, refused, crashes] = (['sent', 'refused', 'crashes'] as const).map(name => results.reduce((sum, result) => sum + result[name], 0))
      t.true(refused! <= sent! / 1_000, `${refused} of ${sent} other requests were refused`)
      t.log(`${(crashes! / results.length).toFixed(1)} targets ended in the mean, ${refused} of ${sent} other requests were refused`)
    })
  }

  test(`${title} refuse no request while a quarter of the targets is lost, again and again`, t => {
    const results = runSeeds(`${title} loss`, 10, { ...size, lossIntervalMs: 6_000 })
    t.deepEqual(results.filter(({ refused }) => refused > 0), [])
  })
}

test('reports that instances which hear nothing of each other go on sending a request that crashes targets', t => {
  const results = runSeeds('silent', 10, { instances: 29, targets: 120, requestIntervalMs: 8, crashingIntervalMs: 400, isSilent: true })
  t.true(results.every(({ lateRetries }) => lateRetries > 3))
})
