import test from 'ava'
import { simulateSite } from './simulate_site.ts'
import { leastLoadedPolicy, noRefusalPolicy, productPolicy, unboundedSpilloverPolicy, unboundedAffinityPolicy } from './policies.ts'
import { loadProfiles, siteConfigs } from './site_config.ts'

const [site, grown] = siteConfigs as [typeof siteConfigs[0], typeof siteConfigs[0]]
const [calm, heavy, rush] = loadProfiles as [typeof loadProfiles[0], typeof loadProfiles[0], typeof loadProfiles[0]]
const seeds = [1, 2, 3]

test('the same seed gives the same play, and each request ends once', t => {
  const play = (): ReturnType<typeof simulateSite> => simulateSite({ site, load: heavy, policy: productPolicy, seed: 7 })
  const result = play()
  t.deepEqual(result, play())
  t.true(Math.abs(result.withinObjective + result.late + result.refused + result.timedOut - 1) < 1e-9)
})

test('an object that is spilled freely is cold wherever it goes: a rush costs more callers their answer, and more in the worst seconds', t => {
  for (const seed of seeds) {
    const own = simulateSite({ site, load: rush, policy: productPolicy, seed })
    const spilled = simulateSite({ site, load: rush, policy: unboundedSpilloverPolicy, seed })
    t.true(spilled.cold > 2 * own.cold, `seed ${seed}: cold ${own.cold} and ${spilled.cold}`)
    t.true(own.refused + own.timedOut < spilled.refused + spilled.timedOut, `seed ${seed}: no answer`)
    t.true(own.worstWindowUtility > spilled.worstWindowUtility, `seed ${seed}: worst window ${own.worstWindowUtility} and ${spilled.worstWindowUtility}`)
  }
})

test('a policy that forgets where an object is warm does not keep up with a heavy load', t => {
  const own = simulateSite({ site, load: heavy, policy: productPolicy, seed: 1 })
  const forgetful = simulateSite({ site, load: heavy, policy: leastLoadedPolicy, seed: 1 })
  t.true(own.withinObjective > 4 * forgetful.withinObjective)
})

test('refusing in time ends fewer requests at their time-out than waiting does', t => {
  for (const seed of seeds) {
    const refusing = simulateSite({ site, load: rush, policy: productPolicy, seed })
    const patient = simulateSite({ site, load: rush, policy: noRefusalPolicy, seed })
    t.true(refusing.timedOut < patient.timedOut / 2, `seed ${seed}: ${refusing.timedOut} and ${patient.timedOut}`)
  }
})

test('a bound on a target serves more in time than affinity without one', t => {
  for (const each of [site, grown]) {
    const bounded = simulateSite({ site: each, load: heavy, policy: productPolicy, seed: 1 })
    const unbounded = simulateSite({ site: each, load: heavy, policy: unboundedAffinityPolicy, seed: 1 })
    t.true(bounded.withinObjective > unbounded.withinObjective, each.name)
  }
})

test('a calm load is served nearly whole in time once objects are warm', t => {
  const { withinObjectiveBySecond } = simulateSite({ site, load: calm, policy: productPolicy, seed: 1 })
  const later = withinObjectiveBySecond.slice(20)
  t.true(later.reduce((sum, share) => sum + share, 0) / later.length > 0.95)
})
