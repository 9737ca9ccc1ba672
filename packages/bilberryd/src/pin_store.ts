/**
 * Pins of keys that came without one, in a table of the platform.
 *
 * @module
 */
import type { Platform } from '@bilberryworks/platform'
import type { Pin, Refusal } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { createHash } from 'node:crypto'
import { PlatformFailureKind, TableName } from '@bilberryworks/platform'
import { createUnknown, formatPin, parsePin, RefusalReason } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

const maxAttempts = 3
const maxKnownRows = 50_000
const storeTimeoutMs = 2_000
const retryAfterMs = 1_000

/** A row of the table of keys. */
export interface KeyRow {
  /** Pin under which the key is remembered. */
  pin: string
}

/** Options of {@linkcode createPinStore}. */
export interface CreatePinStoreOptions {
  /** The platform. */
  platform: Platform
  /** Creates a pin of this instance. */
  createPin: () => Pin
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** A key without a pin. */
export interface UnpinnedKey {
  /** Value of `Authorization`, which is the scope of the key. */
  authorization: string
  /** Value of `Idempotency-Key`. */
  key: string
  /** Monotonic time by which the pin is needed, in milliseconds. */
  deadlineAtMs: number
}

/** Pins of keys that came without one. */
export interface PinStore {
  /** Returns the pin of a key, a pin of this instance where nobody had used the key. */
  claimPin (unpinned: UnpinnedKey): Promise<Result<Pin, Refusal>>
}

/**
 * Creates the access to the table of keys.
 *
 * Each key has one row, inserted only where it is absent, so that all instances agree on the pin.
 * Where the row can't be read the outcome is `unknown`: an earlier try may have run.
 *
 * @param options The platform and the source of pins
 * @returns The access
 */
export function createPinStore (options: CreatePinStoreOptions): PinStore {
  const { platform } = options
  const known = new Map<string, Pin>()

  function rememberPin (rowKey: string, pin: Pin): Result<Pin, Refusal> {
    const [oldest] = known.keys()
    if (known.size >= maxKnownRows && oldest !== undefined) known.delete(oldest)
    known.set(rowKey, pin)
    return ok(pin)
  }

  async function claimRow (rowKey: string, pin: Pin, timeoutMs: number): Promise<Result<Pin, PlatformFailureKind>> {
    const row: KeyRow = { pin: formatPin(pin) }
    const written = await platform.writeRows([{ table: TableName.Keys, key: rowKey, ifVersion: 0, value: row }], { timeoutMs })
    if (written.isOk()) return ok(pin)
    if (written.error.kind === PlatformFailureKind.Unavailable) return err(PlatformFailureKind.Unavailable)
    const read = await platform.readRow(TableName.Keys, rowKey, { timeoutMs })
    if (read.isErr()) return err(read.error.kind)
    const found = parsePin((read.value?.value as KeyRow | undefined)?.pin ?? '')
    return found.mapErr(() => PlatformFailureKind.Unknown)
  }

  return {
    async claimPin ({ authorization, key, deadlineAtMs }) {
      const rowKey = createHash('sha256').update(`${authorization}\u0000${key}`).digest('hex')
      const remembered = known.get(rowKey)
      if (remembered !== undefined) return ok(remembered)
      const pin = options.createPin()
      for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const leftMs = deadlineAtMs - options.getNowMs()
        if (leftMs <= 0) break
        const claimed = await claimRow(rowKey, pin, Math.min(storeTimeoutMs, Math.ceil(leftMs)))
        if (claimed.isOk()) return rememberPin(rowKey, claimed.value)
        if (claimed.error === PlatformFailureKind.Unavailable) break
      }
      const refusal = createUnknown(RefusalReason.StoreUnavailable, 'Table of keys does not answer; an earlier try under this key may have run')
      return err({ ...refusal, retryAfterMs })
    }
  }
}
