/**
 * Binds each idempotency key sent without a pin to one pin, in a platform table that all instances share.
 *
 * @module
 */
import type { Platform } from '@bilberryworks/platform'
import type { Pin, Refusal } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { createHash } from 'node:crypto'
import { PlatformFailureKind, TableName } from '@bilberryworks/platform'
import { createUnknownRefusal, formatPin, parsePin, RefusalReason } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

const maxAttempts = 3
const maxCachedPins = 50_000
const callTimeoutMs = 2_000
const retryAfterMs = 1_000

/** Row that binds a key to its pin. */
export interface PinRow {
  /** The pin in its text form, which names the incarnation that retains the key. */
  pin: string
}

/** Options of {@linkcode createPinStore}. */
export interface CreatePinStoreOptions {
  /** The platform. */
  platform: Platform
  /** Creates a pin for this instance. */
  createPin: () => Pin
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** An idempotency key that was sent without a pin. */
export interface UnpinnedKey {
  /** Value of the `Authorization` header, which is the scope of the key. */
  authorization: string
  /** Value of the `Idempotency-Key` header. */
  key: string
  /** Monotonic time by which the pin is needed, in milliseconds. */
  deadlineAtMs: number
}

/** Assigns pins to keys sent without one. */
export interface PinStore {
  /** Returns the pin bound to a key. An unbound key is first bound to a new pin of this instance. */
  claimPin (unpinned: UnpinnedKey): Promise<Result<Pin, Refusal>>
}

/**
 * Creates a pin store with an empty cache.
 *
 * Each key has one row, inserted only if it does not exist, so that all instances agree on the pin. If the row can't be
 * read, the refusal has the outcome `unknown`, since an earlier request with the key may have run.
 *
 * @param options Platform, factory of pins and clock
 * @returns The store
 */
export function createPinStore (options: CreatePinStoreOptions): PinStore {
  const { platform } = options
  const cachedPins = new Map<string, Pin>()

  function rememberPin (rowKey: string, pin: Pin): Result<Pin, Refusal> {
    const [oldest] = cachedPins.keys()
    if (cachedPins.size >= maxCachedPins && oldest !== undefined) cachedPins.delete(oldest)
    cachedPins.set(rowKey, pin)
    return ok(pin)
  }

  async function claimRow (rowKey: string, pin: Pin, timeoutMs: number): Promise<Result<Pin, PlatformFailureKind>> {
    const row: PinRow = { pin: formatPin(pin) }
    const written = await platform.writeRows([{ table: TableName.Keys, key: rowKey, ifVersion: 0, value: row }], { timeoutMs })
    if (written.isOk()) return ok(pin)
    if (written.error.kind === PlatformFailureKind.Unavailable) return err(PlatformFailureKind.Unavailable)
    const read = await platform.readRow(TableName.Keys, rowKey, { timeoutMs })
    if (read.isErr()) return err(read.error.kind)
    const parsedPin = parsePin((read.value?.value as PinRow | undefined)?.pin ?? '')
    return parsedPin.mapErr(() => PlatformFailureKind.Unknown)
  }

  return {
    async claimPin ({ authorization, key, deadlineAtMs }) {
      const rowKey = createHash('sha256').update(`${authorization}\u0000${key}`).digest('hex')
      const cachedPin = cachedPins.get(rowKey)
      if (cachedPin !== undefined) return ok(cachedPin)
      const pin = options.createPin()
      for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const remainingMs = deadlineAtMs - options.getNowMs()
        if (remainingMs <= 0) break
        const claimed = await claimRow(rowKey, pin, Math.min(callTimeoutMs, Math.ceil(remainingMs)))
        if (claimed.isOk()) return rememberPin(rowKey, claimed.value)
        if (claimed.error === PlatformFailureKind.Unavailable) break
      }
      const refusal = createUnknownRefusal(RefusalReason.StoreUnavailable, 'Platform table of idempotency keys is unavailable; an earlier request with this key may have run')
      return err({ ...refusal, retryAfterMs })
    }
  }
}
