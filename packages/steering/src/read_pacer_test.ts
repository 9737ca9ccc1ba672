import test from 'ava'
import fc from 'fast-check'
import { createReadPacer } from './read_pacer.ts'

const options = { burstUnits: 100, ownUnitsPerSecond: 1_000, sharedUnitsPerSecond: 10_000 }

/** Lets senders read as soon as they may, each a number of units at a time, for a time; returns the units that each has read. */
function simulateSenders (unitsPerRead: number[], durationMs: number): number[] {
  const pacer = createReadPacer(options)
  const senders = unitsPerRead.map(units => ({ units, read: 0, nextAtMs: 0, account: pacer.createAccount(0) }))
  for (;;) {
    const next = senders.reduce((a, b) => b.nextAtMs < a.nextAtMs ? b : a)
    const nowMs = next.nextAtMs
    if (nowMs >= durationMs) return senders.map(({ read }) => read)
    next.read += next.units
    next.nextAtMs = nowMs + Math.max(1, pacer.charge(next.account, next.units, nowMs))
  }
}

test('a sender within its own units reads on at once', t => {
  const pacer = createReadPacer(options)
  const account = pacer.createAccount(0)
  for (let nowMs = 0; nowMs < 5_000; nowMs += 10) t.is(pacer.charge(account, 10, nowMs), 0)
})

test('a sender beyond its units waits for the shared ones', t => {
  const pacer = createReadPacer(options)
  const account = pacer.createAccount(0)
  t.is(pacer.charge(account, 1_100, 0), 100)
  t.is(pacer.charge(account, 1_100, 100), 100)
})

test('a sender within its units does not wait while others are beyond theirs', t => {
  const pacer = createReadPacer(options)
  pacer.charge(pacer.createAccount(0), 50_000, 0)
  t.is(pacer.charge(pacer.createAccount(0), 50, 0), 0)
})

test('units that are not used are kept up to the burst', t => {
  const pacer = createReadPacer(options)
  const account = pacer.createAccount(0)
  pacer.charge(account, 100, 0)
  t.is(pacer.charge(account, 100, 60_000), 0)
  t.true(pacer.charge(account, 100, 60_000) > 0)
})

test('a time before the last charge refills nothing', t => {
  const pacer = createReadPacer(options)
  const account = pacer.createAccount(1_000)
  pacer.charge(account, 100, 1_000)
  t.true(pacer.charge(account, 1, 900) > 0)
})

test('all senders together cause no more than the shared units beside their own', t => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 11_000 }), { minLength: 1, maxLength: 40 }), unitsPerRead => {
    const durationMs = 20_000
    const read = simulateSenders(unitsPerRead, durationMs).reduce((sum, units) => sum + units, 0)
    const own = unitsPerRead.length * (options.burstUnits + options.ownUnitsPerSecond * durationMs / 1_000)
    const inLastRead = unitsPerRead.reduce((sum, units) => sum + units, 0)
    t.true(read <= own + options.sharedUnitsPerSecond * durationMs / 1_000 + inLastRead)
  }), { seed: 20261205 })
})

test('senders that read alike get alike', t => {
  for (const senders of [2, 12, 100]) {
    const read = simulateSenders(new Array<number>(senders).fill(5_000), 120_000)
    t.true(Math.max(...read) - Math.min(...read) <= 5_000, `${Math.min(...read)} to ${Math.max(...read)}`)
  }
})
