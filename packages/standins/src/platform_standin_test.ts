import type { PlatformFaults } from './platform_standin.ts'
import { createHttpPlatform, PlatformFailureKind } from '@bilberryworks/platform'
import test from 'ava'
import { startPlatformStandin } from './platform_standin.ts'

const cases: Array<[name: string, faults: Partial<PlatformFaults>, kind: PlatformFailureKind | undefined, written: boolean, landed: boolean]> = [
  ['no fault', {}, undefined, true, true],
  ['outage', { outage: true }, PlatformFailureKind.Unavailable, false, false],
  ['cut', { cut: true }, PlatformFailureKind.Unknown, false, false],
  ['lost answer', { loseAnswers: 1 }, PlatformFailureKind.Unknown, true, true],
  ['delayed write', { delayWrites: 1, landAfterMs: 300 }, PlatformFailureKind.Unknown, false, true]
]

for (const [name, faults, kind, written, landed] of cases) {
  test(`platform stand-in: ${name}`, async t => {
    await using standin = await startPlatformStandin()
    await using platform = createHttpPlatform(standin.url)
    Object.assign(standin.faults, faults)
    const result = await platform.writeRows([{ table: 't', key: 'k', value: 1, ifVersion: 0 }])
    t.is(result.match(() => undefined, failure => failure.kind), kind)
    t.is(standin.getValue('t', 'k') === 1, written)
    await new Promise(resolve => setTimeout(resolve, 600))
    t.is(standin.getValue('t', 'k') === 1, landed)
  })
}

test('platform stand-in: stale reads, conditions on the present', async t => {
  await using standin = await startPlatformStandin()
  await using platform = createHttpPlatform(standin.url)
  standin.faults.staleMs = 60_000
  await platform.writeRows([{ table: 't', key: 'k', value: 1 }])
  t.is((await platform.readRow('t', 'k'))._unsafeUnwrap(), undefined)
  t.deepEqual((await platform.listRows('t', ''))._unsafeUnwrap(), [])
  const conflict = await platform.writeRows([{ table: 't', key: 'k', value: 2, ifVersion: 0 }])
  t.is(conflict._unsafeUnwrapErr().kind, PlatformFailureKind.Conflict)
})

test('platform stand-in: the list of machines is sent again only where it changed', async t => {
  await using standin = await startPlatformStandin()
  await using platform = createHttpPlatform(standin.url)
  const lists: number[] = []
  for (const count of [1, 1, 2, 2]) {
    if (count !== lists.at(-1)) standin.setMachines({ instances: [], targets: Array.from({ length: count }, () => ({}) as never) })
    lists.push((await platform.listMachines())._unsafeUnwrap().targets.length)
  }
  t.deepEqual(lists, [1, 1, 2, 2])
})
