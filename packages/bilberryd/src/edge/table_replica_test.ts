import test from 'ava'
import fc from 'fast-check'
import { createTableReplica } from './table_replica.ts'

const seed = 20261203

test('ignores outdated changes, also after a removal', t => {
  const table = createTableReplica()
  t.is(table.mergeChanges([{ key: 'a', text: 'new', version: 5 }]).length, 1)
  t.is(table.mergeChanges([{ key: 'a', text: 'old', version: 4 }]).length, 0)
  t.is(table.mergeChanges([{ key: 'a', text: undefined, version: 6 }]).length, 1)
  t.is(table.mergeChanges([{ key: 'a', text: 'old', version: 5 }]).length, 0)
  t.deepEqual(table.list(), [])
  t.is(table.getVersion(), 6)
})

test('removes rows that a snapshot does not contain, unless they are newer', t => {
  const table = createTableReplica()
  table.mergeChanges([{ key: 'a', text: 'a', version: 1 }, { key: 'b', text: 'b', version: 9 }])
  t.deepEqual(table.mergeSnapshot([{ key: 'c', text: 'c', version: 3 }], 5).map(change => [change.key, change.text]), [['c', 'c'], ['a', undefined]])
  t.deepEqual(table.list().map(row => row.key).toSorted(), ['b', 'c'])
})

test('reaches the same rows for any order of changes and snapshots', t => {
  t.log(`seed ${seed}`)
  const change = fc.record({ key: fc.constantFrom('a', 'b', 'c'), text: fc.option(fc.constantFrom('x', 'y'), { nil: undefined }) })
  t.notThrows(() => fc.assert(fc.property(fc.array(change, { maxLength: 12 }), fc.infiniteStream(fc.nat()), (history, picks) => {
    const source = createTableReplica()
    const messages: Array<(table: ReturnType<typeof createTableReplica>) => void> = []
    for (const [index, entry] of history.entries()) {
      source.mergeChanges([{ ...entry, version: index + 1 }])
      const rows = source.list()
      messages.push(table => table.mergeChanges([{ ...entry, version: index + 1 }]))
      messages.push(table => table.mergeSnapshot(rows, index + 1))
    }
    const replica = createTableReplica()
    for (const pick of picks) {
      if (messages.length === 0) break
      messages.splice(pick % messages.length, 1)[0]!(replica)
    }
    const describe = (table: typeof replica): string => JSON.stringify(table.list().map(row => [row.key, row.text]).toSorted())
    return describe(replica) === describe(source)
  }), { seed, numRuns: 300 }))
})
