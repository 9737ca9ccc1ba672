/**
 * Pins: names of the incarnation of an instance that remembers idempotency keys.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'

/** The parts of a pin. */
export interface Pin {
  /** Instance that remembers the keys used under this pin. */
  instance: string
  /** Incarnation of that instance. */
  incarnation: string
  /** Epoch of that incarnation under which the pin was given out. */
  epoch: number
  /** Distinguishes this pin from all others; the scope of its keys. */
  nonce: string
}

const maxPinLength = 256
const partPattern = /^[A-Za-z0-9_-]{1,64}$/

/**
 * Formats a pin as the text that a look-up gives out.
 *
 * @param pin The parts
 * @returns The text, four parts joined by dots
 */
export function formatPin (pin: Pin): string {
  return `${pin.instance}.${pin.incarnation}.${pin.epoch}.${pin.nonce}`
}

/**
 * Parses the text of a pin.
 *
 * @param text The value of `Bilberry-Pin`
 * @returns The parts, or a message that says what is wrong
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

/** How a pin stands towards the instance that judges it. */
export enum PinStatus {
  /** Given out for this incarnation, in an epoch in which new keys may still be used. */
  Current = 'current',
  /** Given out for this incarnation, in an epoch in which no new key may be used. */
  Expired = 'expired',
  /** Names an epoch of this incarnation that has not begun. */
  Future = 'future',
  /** Names this instance, but not this incarnation. */
  OtherIncarnation = 'other_incarnation',
  /** Names another instance. */
  OtherInstance = 'other_instance'
}

/** Length of an epoch, in milliseconds of the incarnation's own monotonic clock. */
export const pinEpochMs = 300_000

/** Epochs after its own in which a pin may bring new keys. */
export const pinUsableEpochs = 2

/** Epochs after its own in which the keys of a pin are remembered; one more than new keys may be used. */
export const pinRememberedEpochs = pinUsableEpochs + 1

/**
 * Computes the epoch of an incarnation.
 *
 * @param uptimeMs Time since the incarnation began, by its monotonic clock
 * @returns The epoch, 0 at first
 */
export function computePinEpoch (uptimeMs: number): number {
  return Math.floor(uptimeMs / pinEpochMs)
}

/** Who judges a pin. */
export interface CheckPinOptions {
  /** Name of the instance. */
  instance: string
  /** Its incarnation. */
  incarnation: string
  /** Its epoch now. */
  epoch: number
}

/**
 * Checks how a pin stands towards an instance.
 *
 * @param pin The pin
 * @param options Who judges
 * @returns The standing; only `Current` lets a new key run
 */
export function checkPin (pin: Pin, options: CheckPinOptions): PinStatus {
  if (pin.instance !== options.instance) return PinStatus.OtherInstance
  if (pin.incarnation !== options.incarnation) return PinStatus.OtherIncarnation
  if (pin.epoch > options.epoch) return PinStatus.Future
  return options.epoch - pin.epoch > pinUsableEpochs ? PinStatus.Expired : PinStatus.Current
}
