import type { RowChange, TableReplica, TableUpdate } from './table_replica.ts'
import test from 'ava'
import fc from 'fast-check'
import { createTableReplica } from './table_replica.ts'

const seed = 20261203

const createChange = (key: string, version: number, text?: string): RowChange => ({ key, version, text })

/** Merges changes as a long poll does, and returns how many took effect. */
function mergeChanges (table: TableReplica, changes: RowChange[], asOf = 0): number {
  return table.merge({ asOf, isSnapshot: false, changes }).length
}

test('ignores outdated changes, also after a removal', t => {
  const table = createTableReplica()
  t.is(mergeChanges(table, [createChange('a', 5, 'new')]), 1)
  t.is(mergeChanges(table, [createChange('a', 4, 'old')]), 0)
  t.is(mergeChanges(table, [createChange('a', 6)]), 1)
  t.is(mergeChanges(table, [createChange('a', 5, 'old')]), 0)
  t.deepEqual(table.list(), [])
  t.is(table.getVersion(), 6)
})

test('removes rows that a snapshot does not contain, unless they are newer', t => {
  const table = createTableReplica()
  mergeChanges(table, [createChange('a', 1, 'a'), createChange('b', 9, 'b')])
  t.deepEqual(table.merge({ asOf: 5, isSnapshot: true, changes: [createChange('c', 3, 'c')] }).map(change => [change.key, change.text]), [['c', 'c'], ['a', undefined]])
  t.deepEqual(table.list().map(row => row.key).toSorted(), ['b', 'c'])
})

test('does not bring a removed row back from a peer that is behind', t => {
  const behind = createTableReplica()
  behind.merge({ asOf: 5, isSnapshot: true, changes: [createChange('a', 3, 'a'), createChange('b', 5, 'b')] })
  const starting = createTableReplica()
  starting.merge({ asOf: 8, isSnapshot: true, changes: [createChange('b', 5, 'b')] })
  t.deepEqual(starting.merge(behind.listSince(0)), [])
  t.deepEqual(starting.list().map(row => row.key), ['b'])
})

test('reaches the same rows for any order of changes and snapshots', t => {
  t.log(`seed ${seed}`)
  const change = fc.record({ key: fc.constantFrom('a', 'b', 'c'), text: fc.option(fc.constantFrom('x', 'y'), { nil: undefined }) })
  t.notThrows(() => fc.assert(fc.property(fc.array(change, { maxLength: 12 }), fc.infiniteStream(fc.nat()), (history, picks) => {
    const source = createTableReplica()
    const updates: TableUpdate[] = []
    for (const [index, entry] of history.entries()) {
      const changes = [{ ...entry, version: index + 1 }]
      source.merge({ asOf: index + 1, isSnapshot: false, changes })
      updates.push({ asOf: 0, isSnapshot: false, changes }, { asOf: index + 1, isSnapshot: true, changes: source.list() })
    }
    const replica = createTableReplica()
    for (const pick of picks) {
      if (updates.length === 0) break
      replica.merge(updates.splice(pick % updates.length, 1)[0]!)
    }
    const describe = (table: typeof replica): string => JSON.stringify(table.list().map(row => [row.key, row.text]).toSorted())
    return describe(replica) === describe(source)
  }), { seed, numRuns: 300 }))
})

test('lists only the changes since the state of a replica that is behind, removals included', t => {
  const table = createTableReplica()
  table.merge({ asOf: 10, isSnapshot: true, changes: [createChange('a', 3, 'a'), createChange('b', 4, 'b')] })
  mergeChanges(table, [createChange('a', 11), createChange('c', 12, 'c')], 15)
  t.is(table.getAsOf(), 15)
  t.deepEqual(table.listSince(10), { asOf: 15, isSnapshot: false, changes: [{ key: 'c', text: 'c', version: 12 }, { key: 'a', version: 11 }] })
  t.deepEqual(table.listSince(15), { asOf: 15, isSnapshot: false, changes: [] })
  t.like(table.listSince(9), { asOf: 15, isSnapshot: true })
})

test('lists all rows when a removal that a replica may lack is not remembered', t => {
  const table = createTableReplica({ maxRemovals: 2 })
  table.merge({ asOf: 1, isSnapshot: true, changes: [] })
  for (let version = 2; version <= 5; version++) mergeChanges(table, [createChange(`k${version}`, version)], version)
  t.true(table.listSince(2).isSnapshot)
  t.false(table.listSince(3).isSnapshot)
})

test('reaches the state of the store by any sequence of updates from replicas with older or newer states', t => {
  t.log(`seed ${seed}`)
  const anyStep = fc.oneof(
    fc.record({ change: fc.constant(true), key: fc.constantFrom('a', 'b', 'c', 'd'), text: fc.option(fc.constantFrom('x', 'y'), { nil: undefined }) }),
    fc.record({ change: fc.constant(false), from: fc.nat({ max: 4 }), to: fc.nat({ max: 4 }), isSnapshot: fc.boolean() })
  )
  const describe = (table: TableReplica): string => JSON.stringify(table.list().map(row => [row.key, row.text]).toSorted())
  t.notThrows(() => fc.assert(fc.property(fc.array(anyStep, { maxLength: 40 }), steps => {
    // The first table is the store; the others read it like an instance, or another replica like a peer.
    const tables = Array.from({ length: 5 }, () => createTableReplica({ maxRemovals: 2 }))
    const store = createTableReplica()
    let version = 0
    for (const step of steps) {
      if (step.change) store.merge({ asOf: ++version, isSnapshot: version === 1, changes: [{ key: step.key, text: step.text, version }] })
      else {
        const source = step.from === 0 ? store : tables[step.from]!
        const table = tables[step.to]!
        if (table.getAsOf() < source.getAsOf()) table.merge(source.listSince(step.isSnapshot ? 0 : table.getAsOf()))
      }
    }
    return tables.every(table => {
      if (table.getAsOf() > 0 || version === 0) table.merge(store.listSince(table.getAsOf()))
      else table.merge({ asOf: version, isSnapshot: true, changes: store.list() })
      return describe(table) === describe(store)
    })
  }), { seed, numRuns: 2_000 }))
})
