import type { RegisteredTarget } from '@bilberryworks/steering'
import type { Attempt } from './attempt.ts'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createAttemptPacer } from '@bilberryworks/steering'
import { ListeningState } from '@bilberryworks/targets'
import { createTargetEndDetector } from './target_end_detector.ts'

const entry = { target: { id: 't', startedAtMs: 1, address: { host: '10.0.0.1', port: 80 } } } as RegisteredTarget
const silentLog = { info: () => {}, warn: () => {}, takeSample: () => false, countDropped: () => 0, countLost: () => 0 }
const createAttempt = (attemptId: string): Attempt => ({ attemptId, fingerprint: `f-${attemptId}` }) as Attempt

for (const [title, state, isPathConfirmed, ends, lost] of [
  ['refuses connections', ListeningState.Refused, true, 1, ['f-a', 'f-b', 'f-c']],
  ['does not respond, which is no evidence against its requests', ListeningState.Unknown, true, 1, []],
  ['accepts connections', ListeningState.Listening, true, 0, []],
  ['does not respond, as others nearby', ListeningState.Unknown, false, 0, []],
  ['refuses connections, as others nearby', ListeningState.Refused, false, 0, []]
] as const) {
  test(`end of a target that ${title}`, async t => {
    const lostRequests: string[] = []
    let endCount = 0
    const checks: Array<Promise<unknown>> = []
    const detector = createTargetEndDetector({
      pacer: createAttemptPacer(),
      onRequestLost: fingerprint => { lostRequests.push(fingerprint) },
      onEnd: () => { endCount++ },
      confirmPath: async () => isPathConfirmed,
      checkListening: () => {
        const check = Promise.resolve(state)
        checks.push(check)
        return check
      },
      log: silentLog,
      getNowMs: () => 0
    })
    detector.recordLoss(createAttempt('a'), entry)
    detector.recordLoss(createAttempt('b'), entry)
    await new Promise(resolve => setImmediate(resolve))
    if (ends > 0) detector.recordLoss(createAttempt('c'), entry)
    t.is(endCount, ends)
    t.is(checks.length, 1)
    t.deepEqual(lostRequests, [...lost])
  })
}

test('the ends of many targets at the same moment are all found, a few at a time', async t => {
  const ended: string[] = []
  let [checking, mostChecking] = [0, 0]
  const detector = createTargetEndDetector({
    pacer: createAttemptPacer(),
    onRequestLost: () => {},
    onEnd: ({ target }) => { ended.push(target.id) },
    confirmPath: async () => true,
    async checkListening () {
      mostChecking = Math.max(mostChecking, ++checking)
      await new Promise(resolve => setImmediate(resolve))
      checking--
      return ListeningState.Refused
    },
    log: silentLog,
    getNowMs: () => 0
  })
  const ids = Array.from({ length: 40 }, (_, index) => `t${index}`)
  for (const id of ids) detector.recordClose({ target: { ...entry.target, id } } as RegisteredTarget)
  for (let turn = 0; turn < 40; turn++) await new Promise(resolve => setImmediate(resolve))
  t.deepEqual(ended, ids)
  t.true(mostChecking <= 8)
})

test('the end of a target whose path could not be checked is found later', async t => {
  const ended: string[] = []
  let checks = 0
  const detector = createTargetEndDetector({
    pacer: createAttemptPacer(),
    onRequestLost: () => {},
    onEnd: ({ target }) => { ended.push(target.id) },
    confirmPath: async (_, { isPaced }) => isPaced && checks++ === 0 ? undefined : true,
    checkListening: async () => ListeningState.Refused,
    log: silentLog,
    getNowMs: () => performance.now()
  })
  detector.recordClose(entry)
  await wait(200)
  t.deepEqual([checks, ended], [2, ['t']])
})

test('a burst of lost requests is checked however often targets were checked before', async t => {
  const lost: string[] = []
  const detector = createTargetEndDetector({
    pacer: { take: () => false },
    onRequestLost: fingerprint => { lost.push(fingerprint) },
    onEnd: () => {},
    confirmPath: async (_, { isPaced }) => isPaced ? undefined : true,
    checkListening: async () => ListeningState.Refused,
    log: silentLog,
    getNowMs: () => performance.now()
  })
  for (const id of ['a', 'b', 'c']) detector.recordLoss(createAttempt(id), { target: { ...entry.target, id } } as RegisteredTarget)
  await wait(20)
  t.deepEqual(lost, ['f-a', 'f-b', 'f-c'])
})
