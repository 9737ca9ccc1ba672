import type { StoreState } from './_store_model.ts'
import type { TableUpdate } from './table_replica.ts'
import test from 'ava'
import fc from 'fast-check'
import { encodeStoreVersion } from '@bilberryworks/steering'
import { copyState, isOutdated, readStore, writeRow } from './_store_model.ts'
import { createTableReplica } from './table_replica.ts'

/** Seeds; all but the first one once found a fault. */
const seeds = [20261204, 99, 1003, 12345]

/** Steps of a run; `key`, `instance` and `peer` are taken modulo their number. */
const step = fc.record({
  kind: fc.constantFrom('write', 'write', 'remove', 'copy', 'restore', 'rewrite', 'read', 'read', 'read', 'fetch', 'restart', 'expire'),
  key: fc.nat({ max: 2 }),
  instance: fc.nat({ max: 6 }),
  peer: fc.nat({ max: 6 })
})

for (const [count, seed] of [2, 7].flatMap(each => seeds.map(seed => [each, seed] as const))) {
  test(`no belief of ${count} instances goes back when the store is restored from any copy, and all agree in the end, seed ${seed}`, t => {
    fc.assert(fc.property(fc.array(step, { maxLength: 60, size: 'max' }), steps => {
      const state: StoreState = { era: 0, counter: 1, rows: new Map(), changes: [] }
      const truth = new Map<string, string>()
      const copies = [copyState(state)]
      const replicas = Array.from({ length: count }, () => createTableReplica({ isOutdated }))
      const beliefs = replicas.map(() => new Map<string, number>())
      let order = 0

      function writeTruth (): void {
        for (const key of state.rows.keys()) if (!truth.has(key)) writeRow(state, key)
        for (const [key, text] of truth) if (state.rows.get(key)?.text !== text) writeRow(state, key, text)
      }

      function mergeInto (index: number, update: TableUpdate): void {
        replicas[index]!.merge(update)
        for (const { key, text } of replicas[index]!.list()) {
          const before = beliefs[index]!.get(key) ?? 0
          if (Number(text) < before) throw new Error(`instance ${index} goes back from ${before} to ${text} for ${key}`)
          beliefs[index]!.set(key, Number(text))
        }
      }

      for (const { kind, ...picks } of steps) {
        const [key, index, peer] = [`k${picks.key}`, picks.instance % count, picks.peer % count]
        if (kind === 'write') {
          truth.set(key, String(++order))
          writeRow(state, key, truth.get(key))
        } else if (kind === 'remove') {
          truth.delete(key)
          writeRow(state, key)
        } else if (kind === 'copy') copies.push(copyState(state))
        else if (kind === 'restore') Object.assign(state, copyState(copies[picks.key % copies.length]!), { era: state.era + 1 })
        else if (kind === 'rewrite') writeTruth()
        else if (kind === 'read') mergeInto(index, readStore(state, replicas[index]!))
        else if (kind === 'fetch' && replicas[peer]!.getAsOf() > replicas[index]!.getAsOf()) mergeInto(index, replicas[peer]!.listSince(replicas[index]!.getAsOf()))
        else if (kind === 'expire') replicas[index]!.dropUnconfirmed()
        else if (kind === 'restart') {
          replicas[index] = createTableReplica({ isOutdated })
          beliefs[index]!.clear()
          if (picks.key === 1) mergeInto(index, readStore(state, replicas[index]!))
          if (replicas[peer]!.getAsOf() > 0) mergeInto(index, replicas[peer]!.listSince(0))
        }
      }
      writeTruth()
      const expected = JSON.stringify([...truth].toSorted())
      for (const [index, replica] of replicas.entries()) {
        mergeInto(index, readStore(state, replica))
        replica.dropUnconfirmed()
        const found = JSON.stringify(replica.list().map(({ key, text }) => [key, text]).toSorted())
        if (found !== expected) throw new Error(`instance ${index} has ${found}, the store ${expected}`)
      }
    }), { seed, numRuns: 2_000 })
    t.pass()
  })
}

test('a row that the restored store lacks stays until its writer has had the time to write it again', t => {
  const replica = createTableReplica({ isOutdated })
  replica.merge({ asOf: 9, isSnapshot: true, changes: [{ key: 'a', text: '1', version: 5 }, { key: 'b', text: '2', version: 9 }] })
  const restored = { asOf: encodeStoreVersion(1, 6), isSnapshot: true, changes: [{ key: 'a', text: '1', version: encodeStoreVersion(1, 5) }] }
  t.deepEqual(replica.merge(restored), [])
  t.is(replica.countUnconfirmed(), 1)
  t.deepEqual(replica.list().map(row => row.key), ['a', 'b'])
  // An instance that starts now learns of the row from this one.
  const starting = createTableReplica({ isOutdated })
  starting.merge(restored)
  starting.merge(replica.listSince(0))
  t.deepEqual(starting.list().map(row => row.key), ['a', 'b'])
  for (const each of [replica, starting]) t.deepEqual(each.dropUnconfirmed().map(({ key, text }) => [key, text]), [['b', undefined]])
})

test('a starting instance prefers a peer that knows a later state to a restored store', t => {
  const replica = createTableReplica({ isOutdated })
  replica.merge({ asOf: 9, isSnapshot: true, changes: [{ key: 'a', text: '3', version: 9 }] })
  const restored = { asOf: encodeStoreVersion(1, 6), isSnapshot: true, changes: [{ key: 'a', text: '1', version: encodeStoreVersion(1, 5) }] }
  t.deepEqual(replica.merge(restored), [])
  const starting = createTableReplica({ isOutdated })
  starting.merge(restored)
  starting.merge(replica.listSince(0))
  t.is(starting.list()[0]!.text, '3')
})

test('a starting instance takes later states from a peer that has not noticed the restoration', t => {
  const peer = createTableReplica({ isOutdated })
  peer.merge({ asOf: 9, isSnapshot: true, changes: [{ key: 'a', text: '3', version: 9 }, { key: 'b', text: '2', version: 8 }] })
  const starting = createTableReplica({ isOutdated })
  starting.merge({ asOf: encodeStoreVersion(1, 6), isSnapshot: true, changes: [{ key: 'a', text: '1', version: encodeStoreVersion(1, 5) }] })
  t.deepEqual(starting.merge(peer.listSince(0)).map(({ key, text }) => [key, text]), [['a', '3'], ['b', '2']])
  t.is(starting.countUnconfirmed(), 1)
  t.is(starting.getAsOf(), encodeStoreVersion(1, 6))
})
