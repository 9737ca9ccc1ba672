import test from 'ava'
import { createResponseSilence } from './response_silence.ts'

const gapMs = 60
const pending = ['t0', 't1', 't2'].map(targetId => ({ targetId, sentAtMs: 3_000 }))

/** Plays regular responses until 3 s. */
function createBusySilence () {
  const silence = createResponseSilence(0)
  for (let nowMs = gapMs; nowMs <= 3_000; nowMs += gapMs) silence.recordResponse(nowMs)
  return silence
}

test('targets are silent after several times the usual time between responses', t => {
  const silence = createBusySilence()
  t.false(silence.isSilent(pending, 3_300))
  t.true(silence.isSilent(pending, 3_500))
})

test('one target alone is not silence of all', t => {
  t.false(createBusySilence().isSilent(pending.slice(0, 1), 9_000))
})

test('requests that were just sent are not overdue', t => {
  t.false(createBusySilence().isSilent(pending.map(({ targetId }) => ({ targetId, sentAtMs: 8_900 })), 9_000))
})

test('silence is reported less and less often until the next response', t => {
  const silence = createBusySilence()
  const reportedAtMs: number[] = []
  for (let nowMs = 3_000; nowMs < 9_000; nowMs += 20) if (silence.isSilent(pending, nowMs)) reportedAtMs.push(nowMs)
  t.is(reportedAtMs.length, 3)
  silence.recordResponse(9_000)
  t.false(silence.isSilent(pending, 9_300))
})
