import test from 'ava'
import { createReachClaims } from './reach_claims.ts'
import { allGroupsUnreached } from './relay_choice.ts'

const group = 's/a'
const reach = { listGroups: () => [group, 's/b'], isLost: () => false }

test('vouches for a group that a peer does not reach while contact goes on', t => {
  const claims = createReachClaims()
  const reports = [{ unreached: [group] }, {}]
  t.deepEqual(claims.weigh({ ...reach, reports, getContactMs: () => 900, nowMs: 1_000 }), { vouched: [], doubtful: [] })
  t.deepEqual(claims.weigh({ ...reach, reports, getContactMs: () => 1_100, nowMs: 1_250 }), { vouched: [group], doubtful: [] })
  t.deepEqual(claims.weigh({ ...reach, reports, getContactMs: () => 1_100, nowMs: 3_101 }), { vouched: [], doubtful: [] })
  t.deepEqual(claims.weigh({ ...reach, reports: [{}], getContactMs: () => 3_200, nowMs: 3_250 }), { vouched: [], doubtful: [] })
})

test('does not vouch for a group whose first contact follows a gap, in which its targets may have restarted', t => {
  const claims = createReachClaims()
  const reports = [{ unreached: [group] }]
  claims.weigh({ ...reach, reports, getContactMs: () => 900, nowMs: 1_000 })
  t.deepEqual(claims.weigh({ ...reach, reports, getContactMs: () => 900, nowMs: 1_600 }), { vouched: [], doubtful: [group] })
  t.deepEqual(claims.weigh({ ...reach, reports, getContactMs: () => 1_700, nowMs: 1_750 }), { vouched: [], doubtful: [group] })
})

test('does not vouch for a group that it has lost itself', t => {
  const claims = createReachClaims()
  const reports = [{ unreached: [group] }]
  t.deepEqual(claims.weigh({ ...reach, isLost: () => true, reports, getContactMs: () => 990, nowMs: 1_000 }), { vouched: [], doubtful: [group] })
  t.deepEqual(claims.weigh({ ...reach, reports, getContactMs: () => 1_100, nowMs: 1_250 }), { vouched: [], doubtful: [group] })
})

test('does not doubt a group for which a peer vouches, nor any because of a peer that reaches none', t => {
  const claims = createReachClaims()
  const quiet = { ...reach, getContactMs: () => -Infinity, nowMs: 1_000 }
  t.deepEqual(claims.weigh({ ...quiet, reports: [{ unreached: [group] }, { reached: [group] }] }), { vouched: [], doubtful: [] })
  t.deepEqual(claims.weigh({ ...quiet, reports: [{ unreached: [allGroupsUnreached] }] }), { vouched: [], doubtful: [] })
})
