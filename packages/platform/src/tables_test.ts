import type { Platform } from './platform.ts'
import test from 'ava'
import { setTimeout as wait } from 'node:timers/promises'
import { createMemoryPlatform } from './memory_platform.ts'
import { readIndex, TableName, writeWithIndex } from './tables.ts'

const writers = 77
const maxCallsPerWriter = 30
const callMs = 4

test('many writers of the index row at once are all served, with a bounded number of calls', async t => {
  const memory = createMemoryPlatform()
  let calls = 0
  const count = async <T>(call: () => Promise<T>): Promise<T> => {
    calls++
    await wait(callMs)
    return call()
  }
  const platform: Platform = { ...memory, readRow: (...args) => count(() => memory.readRow(...args)), writeRows: (...args) => count(() => memory.writeRows(...args)) }
  const written = await Promise.all(Array.from({ length: writers }, (_, number) => {
    const write = { table: TableName.Documents, key: `service-${number}`, ifVersion: 0, value: number }
    return writeWithIndex(platform, [write], index => ({ ...index, members: index.members + 1 }))
  }))
  t.deepEqual(written.flatMap(result => result.isErr() ? [result.error.detail] : []), [])
  t.is((await readIndex(memory))._unsafeUnwrap().index.members, writers)
  t.true(calls <= writers * maxCallsPerWriter, String(calls))
})
