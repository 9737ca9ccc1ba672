/**
 * Pins, which name the incarnation of an instance that retains a caller's idempotency keys.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'

/** The parts of a pin. */
export interface Pin {
  /** Instance that retains the keys used under this pin. */
  instance: string
  /** Incarnation of that instance. */
  incarnation: string
  /** Epoch of that incarnation in which the pin was issued. */
  epoch: number
  /** Distinguishes this pin from all others, and thereby the keys used under it. */
  nonce: string
}

const maxPinLength = 256
const partPattern = /^[A-Za-z0-9_-]{1,64}$/

/**
 * Formats a pin as the text that a look-up returns to a caller.
 *
 * @param pin The pin
 * @returns The text: four parts joined by dots
 */
export function formatPin (pin: Pin): string {
  return `${pin.instance}.${pin.incarnation}.${pin.epoch}.${pin.nonce}`
}

/**
 * Parses the text of a pin.
 *
 * @param text Value of the `Bilberry-Pin` header field
 * @returns The pin, or a message that describes the error
 */
export function parsePin (text: string): Result<Pin, string> {
  if (text.length > maxPinLength) return err(`Pin is longer than ${maxPinLength} characters`)
  const parts = text.split('.')
  if (parts.length !== 4) return err(`Pin has ${parts.length} parts, expected 4`)
  const [instance = '', incarnation = '', epochText = '', nonce = ''] = parts
  for (const part of [instance, incarnation, nonce]) {
    if (!partPattern.test(part)) return err(`Pin has a malformed part "${part}"`)
  }
  if (!/^\d{1,9}$/.test(epochText)) return err(`Pin has a malformed epoch "${epochText}"`)
  return ok({ instance, incarnation, epoch: Number(epochText), nonce })
}

/** Status of a pin at the instance that checks it. */
export enum PinStatus {
  /** Issued by this incarnation, in an epoch whose pins still admit new keys. */
  Current = 'current',
  /** Issued by this incarnation, in an epoch whose pins admit no new keys. */
  Expired = 'expired',
  /** Names an epoch of this incarnation that has not begun. */
  Future = 'future',
  /** Names this instance, but another incarnation of it. */
  OtherIncarnation = 'other_incarnation',
  /** Names another instance. */
  OtherInstance = 'other_instance'
}

/** Length of an epoch, in milliseconds by the incarnation's monotonic clock. */
export const pinEpochMs = 300_000

/** Number of epochs after the one of its issue during which a pin admits new keys. */
export const pinUsableEpochs = 2

/** Number of epochs after the one of its issue during which the keys of a pin are retained: one more than those in which it admits new keys. */
export const pinRetainedEpochs = pinUsableEpochs + 1

/**
 * Computes the current epoch of an incarnation.
 *
 * @param uptimeMs Time since the start of the incarnation, in milliseconds by its monotonic clock
 * @returns The epoch, counted from 0
 */
export function computePinEpoch (uptimeMs: number): number {
  return Math.floor(uptimeMs / pinEpochMs)
}

/** Options of {@linkcode checkPin}: the instance that checks the pin. */
export interface CheckPinOptions {
  /** Name of the instance. */
  instance: string
  /** Incarnation of the instance. */
  incarnation: string
  /** Current epoch of the incarnation. */
  epoch: number
}

/**
 * Checks the status of a pin at an instance.
 *
 * @param pin The pin
 * @param options The instance that checks the pin
 * @returns The status; only `Current` admits new keys
 */
export function checkPin (pin: Pin, options: CheckPinOptions): PinStatus {
  if (pin.instance !== options.instance) return PinStatus.OtherInstance
  if (pin.incarnation !== options.incarnation) return PinStatus.OtherIncarnation
  if (pin.epoch > options.epoch) return PinStatus.Future
  return options.epoch - pin.epoch > pinUsableEpochs ? PinStatus.Expired : PinStatus.Current
}
