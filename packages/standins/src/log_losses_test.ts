import type { LogLine } from 'bilberryctl'
import test from 'ava'
import { countLosses, LossCause } from './log_losses.ts'

const startMs = 1_000_000
const startLines = [
  { event: 'started', fields: { region: 'a' } },
  { event: 'target', fields: { target: 'near', region: 'a' } },
  { event: 'target', fields: { target: 'far', region: 'b' } }
].map(line => ({ ...line, instance: 'i', atMs: startMs }))
const send = { target: 'near', afterMs: 0, inFlight: 1, othersBusy: 0, slots: 3 }

function createLine (fields: Record<string, unknown>, atMs = startMs): LogLine {
  return { instance: 'i', atMs, event: 'request_ended', fields: { route: 'r', object: 'o', outcome: 'answered', objectiveMs: 400, elapsedMs: 500, sends: [send], ...fields } }
}

const cases: Array<[string, Record<string, unknown>, LossCause | undefined]> = [
  ['a response in time', { elapsedMs: 400 }, undefined],
  ['a late first run', { sends: [{ ...send, first: true }] }, LossCause.FirstRunNear],
  ['a late first run in another region', { sends: [{ ...send, target: 'far', first: true }] }, LossCause.FirstRunFar],
  ['a wait for a third of the objective', { sends: [{ ...send, afterMs: 150, first: true }] }, LossCause.Waited],
  ['more requests at the target than slots', { sends: [{ ...send, inFlight: 2, othersBusy: 2 }] }, LossCause.TargetQueue],
  ['a slow target', {}, LossCause.SlowNear],
  ['a slow target in another region', { sends: [{ ...send, target: 'far' }] }, LossCause.SlowFar],
  ['a late response after a retry', { sends: [send, send] }, LossCause.Retried],
  ['a refusal', { outcome: 'not-run', reason: 'overloaded', elapsedMs: 3 }, LossCause.Refused],
  ['an unknown outcome', { outcome: 'unknown', reason: 'target_lost' }, LossCause.Unknown],
  ['a caller that left', { outcome: 'not-run', reason: 'caller_gone' }, LossCause.CallerGone]
]
for (const [title, fields, cause] of cases) {
  test(`finds the cause of ${title}`, t => {
    const { routes } = countLosses([...startLines, createLine(fields)])
    t.deepEqual(routes.flatMap(({ counts }) => [...counts]), cause === undefined ? [] : [[cause, 1]])
  })
}

test('counts losses by route, reason and second', t => {
  const { routes, seconds } = countLosses([...startLines, createLine({}), createLine({ outcome: 'not-run', reason: 'overloaded' }, startMs + 2_500), createLine({ route: 'other' }, startMs + 2_900)])
  t.deepEqual(routes.map(({ route, counts }) => [route, counts.size]), [['r', 2], ['other', 1]])
  t.deepEqual([...routes[0]!.reasons], [['overloaded', 1]])
  t.deepEqual(seconds.map(counts => counts.size), [1, 0, 2])
})
