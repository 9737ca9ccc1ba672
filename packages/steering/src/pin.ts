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
