import type { Scenario } from './bench_simulate.ts'
import test from 'ava'
import { createRandom, createVirtualClock } from './bench_clock.ts'
import { allPolicies, productionPolicy } from './bench_policies.ts'
import { simulate } from './bench_simulate.ts'
import { deployments } from './deployments.ts'

const seed = 20260612
const rush: Scenario = { name: 'rush', durationMs: 3_000, getLoad: () => 3 }
const failure: Scenario = {
  ...rush,
  name: 'region fails',
  prepare: cluster => cluster.clock.schedule(1_000, () => {
    for (const each of [...cluster.instances, ...cluster.targets]) if (each.region === cluster.deployment.regions[0]) each.isAlive = false
    cluster.topologyVersion++
  })
}

for (const [name, deployment] of Object.entries(deployments)) {
  for (const scenario of [rush, failure]) {
    test(`the production policy overloads no target: ${name}, ${scenario.name}`, t => {
      const measurements = simulate(cluster => productionPolicy.create(cluster), { deployment, scenario, seed })
      t.is(measurements.overloadedTargetSeconds, 0)
      t.is(measurements.answered + measurements.refused, measurements.requests)
      t.true(measurements.refused > 0 && measurements.peakRegionUtilization <= 1 + 1e-9)
    })
  }
}

test('detects overloaded targets under a policy without target ownership', t => {
  const random = allPolicies.find(policy => policy.name === 'random')!
  t.true(simulate(cluster => random.create(cluster), { deployment: deployments.kutiyka, scenario: rush, seed }).overloadedTargetSeconds > 0)
})

test('gives the same measurements for the same seed', t => {
  const runSimulation = (): unknown => simulate(cluster => productionPolicy.create(cluster), { deployment: deployments.kutiyka, scenario: rush, seed })
  t.deepEqual(runSimulation(), runSimulation())
})

test('the virtual clock runs events in order of time', t => {
  const clock = createVirtualClock()
  const getRandom = createRandom(seed)
  const seen: number[] = []
  for (let index = 0; index < 500; index++) clock.schedule(getRandom() * 100, () => seen.push(clock.getNowMs()))
  clock.advance(100)
  t.is(seen.length, 500)
  t.deepEqual(seen, [...seen].sort((a, b) => a - b))
})
