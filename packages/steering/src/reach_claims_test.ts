import test from 'ava'
import { createReachClaims } from './reach_claims.ts'
import { allGroupsUnreached } from './relay_choice.ts'

const group = 's/a'
const reach = { listGroups: () => [group, 's/b'], isLost: () => false }

test('vouches for a group that a peer does not reach while contact goes on', t => {
  const claims = createReachClaims()
  const reports = [{ instance: 'p', unreached: [group] }, { instance: 'q' }]
  t.deepEqual(claims.weigh({ ...reach, reports, getContactMs: () => 900, nowMs: 1_000 }), { vouched: [], doubtful: [], excused: [] })
  t.deepEqual(claims.weigh({ ...reach, reports, getContactMs: () => 1_100, nowMs: 1_250 }), { vouched: [group], doubtful: [], excused: [] })
  t.deepEqual(claims.weigh({ ...reach, reports, getContactMs: () => 1_100, nowMs: 3_101 }), { vouched: [], doubtful: [], excused: [] })
  t.deepEqual(claims.weigh({ ...reach, reports: [{ instance: 'p' }], getContactMs: () => 3_200, nowMs: 3_250 }), { vouched: [], doubtful: [], excused: [] })
})

test('does not vouch for a group whose first contact follows a gap, in which its targets may have restarted', t => {
  const claims = createReachClaims()
  const reports = [{ instance: 'p', unreached: [group] }]
  claims.weigh({ ...reach, reports, getContactMs: () => 900, nowMs: 1_000 })
  t.deepEqual(claims.weigh({ ...reach, reports, getContactMs: () => 900, nowMs: 1_600 }), { vouched: [], doubtful: [group], excused: [] })
  t.deepEqual(claims.weigh({ ...reach, reports, getContactMs: () => 1_700, nowMs: 1_750 }), { vouched: [], doubtful: [group], excused: [] })
})

test('does not vouch for a group that it has lost itself', t => {
  const claims = createReachClaims()
  const reports = [{ instance: 'p', unreached: [group] }]
  t.deepEqual(claims.weigh({ ...reach, isLost: () => true, reports, getContactMs: () => 990, nowMs: 1_000 }), { vouched: [], doubtful: [group], excused: [] })
  t.deepEqual(claims.weigh({ ...reach, reports, getContactMs: () => 1_100, nowMs: 1_250 }), { vouched: [], doubtful: [group], excused: [] })
})

test('does not doubt a group for which a peer vouches, nor any because of a peer that reaches none', t => {
  const claims = createReachClaims()
  const quiet = { ...reach, getContactMs: () => -Infinity, nowMs: 1_000 }
  claims.weigh({ ...quiet, reports: [{ instance: 'p', unreached: [group] }], nowMs: 800 })
  t.deepEqual(claims.weigh({ ...quiet, reports: [{ instance: 'p', unreached: [group] }, { instance: 'q', reached: [group] }] }), { vouched: [], doubtful: [], excused: [] })
  t.deepEqual(claims.weigh({ ...quiet, reports: [{ instance: 'p', unreached: [allGroupsUnreached] }] }), { vouched: [], doubtful: [], excused: [group] })
})

test('excuses a group that was named by peers only which reach none at all by now', t => {
  const claims = createReachClaims()
  const quiet = { ...reach, getContactMs: () => -Infinity, nowMs: 1_250 }
  const [first, all, second] = [{ instance: 'p', unreached: [group] }, { instance: 'p', unreached: [allGroupsUnreached] }, { instance: 'q', unreached: [group] }]
  t.deepEqual(claims.weigh({ ...quiet, reports: [first], nowMs: 1_000 }).doubtful, [])
  t.deepEqual(claims.weigh({ ...quiet, reports: [first] }).doubtful, [group])
  t.deepEqual(claims.weigh({ ...quiet, reports: [all] }), { vouched: [], doubtful: [], excused: [group] })
  t.deepEqual(claims.weigh({ ...quiet, reports: [all, second] }), { vouched: [], doubtful: [group], excused: [] })
  t.deepEqual(claims.weigh({ ...quiet, reports: [all, { instance: 'q' }] }), { vouched: [], doubtful: [], excused: [] })
})
