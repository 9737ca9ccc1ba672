import test from 'ava'
import { createHandoffWait } from './handoff_wait.ts'

const cases: Array<[string, { owns: boolean, slotsAfterLooks: number, looks: number }]> = [
  ['returns immediately when no target is owned', { owns: false, slotsAfterLooks: Infinity, looks: 1 }],
  ['returns immediately when slots are available', { owns: true, slotsAfterLooks: 0, looks: 1 }],
  ['returns when slots become available', { owns: true, slotsAfterLooks: 3, looks: 4 }]
]
for (const [name, { owns, slotsAfterLooks, looks }] of cases) {
  test(`handoff wait: ${name}`, async t => {
    let pollCount = 0
    const wait = createHandoffWait({ ownsTarget: () => owns, hasSlots: () => pollCount++ >= slotsAfterLooks, getNowMs: () => 0 })
    await wait('s', 10_000)
    t.true(pollCount >= looks && pollCount <= looks + 1, `${pollCount} polls`)
  })
}

test('waits no longer than the maximum wait', async t => {
  let nowMs = 0
  const wait = createHandoffWait({ ownsTarget: () => true, hasSlots: () => false, getNowMs: () => { nowMs += 500; return nowMs } })
  await wait('s', Infinity)
  t.true(nowMs <= 4_000)
})
