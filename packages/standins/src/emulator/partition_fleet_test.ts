import test from 'ava'
import { countServed, listBreaches } from './partition_checks.ts'
import { createFleetPlan, FleetTrouble } from './partition_plan.ts'
import { FleetMutant } from './fleet_world.ts'
import { createSeededRandom } from './seeded_random.ts'
import { simulatePartitions } from './partition_fleet.ts'

const instances = 7
const seeds = 8
/** Seeds within which each fault of the fleet must be noticed. */
const mutantSeeds = 20
/** Time after the begin of a cut from which callers at cut instances are to be served as often as others, and the ratio. */
const settledMs = 1_500
const minServedRatio = 0.97

async function simulateSeed (trouble: FleetTrouble, seed: number, mutant?: FleetMutant): Promise<{ breaches: string[], served: ReturnType<typeof countServed> }> {
  const plan = createFleetPlan({ instances, trouble, getRandom: createSeededRandom(`plan ${seed}`) })
  const record = await simulatePartitions({ plan, getRandom: createSeededRandom(`run ${seed}`), ...mutant === undefined ? {} : { mutant } })
  return { breaches: listBreaches(plan, record).map(breach => `seed ${seed}: ${breach}`), served: countServed(plan, record, settledMs) }
}

for (const trouble of Object.values(FleetTrouble)) {
  test.serial(`a fleet keeps its rules under the trouble ${trouble}`, async t => {
    const results: Array<Awaited<ReturnType<typeof simulateSeed>>> = []
    for (let seed = 0; seed < seeds; seed++) results.push(await simulateSeed(trouble, seed))
    t.deepEqual(results.flatMap(({ breaches }) => breaches), [])
    const sum = (read: (served: ReturnType<typeof countServed>) => number): number => results.reduce((total, { served }) => total + read(served), 0)
    if (trouble !== FleetTrouble.PartitionsAlone) return
    const [cut, others] = [sum(served => served.cutServed) / sum(served => served.cut), sum(served => served.othersServed) / sum(served => served.others)]
    t.true(cut >= minServedRatio * others, `${cut.toFixed(3)} are served at instances without a path, ${others.toFixed(3)} at others`)
  })
}

for (const mutant of Object.values(FleetMutant)) {
  test.serial(`the checks notice the fault ${mutant}`, async t => {
    for (let seed = 0; seed < mutantSeeds; seed++) {
      const { breaches } = await simulateSeed(FleetTrouble.Partitions, seed, mutant)
      if (breaches.length > 0) return t.pass()
    }
    t.fail(`No rule was broken with ${mutantSeeds} seeds`)
  })
}
