/**
 * The header field that instances add to the requests and responses that they relay for each other.
 *
 * @module
 */
import type { Refusal } from '@bilberryworks/steering'
import type { ResponseHead } from '@bilberryworks/targets'
import type { ServerResponse } from 'node:http'
import { createNotRunRefusal, createUnknownRefusal, Outcome, RefusalReason } from '@bilberryworks/steering'
import { attemptIdHeader } from '@bilberryworks/users-platform'

/** What a relaying instance states about a request. */
export interface RelayOrigin {
  /** Name of the instance that received the request from its caller. */
  instance: string
  /** Service that it selected for the request. */
  service: string
  /** Number of targets that may have received the request before. */
  targetsReached: number
  /** Version of the routing configuration by which it selected the service; 0 if it does not say, as an earlier build. */
  version: number
}

/** What an instance states about its response to a relayed request. */
export interface RelayResult {
  /** Identifier of the target whose response it is; `undefined` if the instance refuses the request itself. */
  targetId: string | undefined
  /** Number of targets that may have received the request through this instance. */
  targetsReached: number
}

/** Name of the header field. */
export const relayHeader = 'Bilberry-Relay'
/** Lower-case name of the header field. */
export const relayField = relayHeader.toLowerCase()

/** Name of the header field with the version of the routing configuration, which earlier builds do not read. */
export const relayVersionHeader = 'Bilberry-Relay-Version'
/** Lower-case name of that header field. */
export const relayVersionField = relayVersionHeader.toLowerCase()

const versionPattern = /^\d{1,15}$/
const noTarget = '-'
const originPattern = /^(\S+) (\S+) (\d{1,4})$/
const resultPattern = /^(\S+) (\d{1,4})$/
const reasons = new Set<string>(Object.values(RefusalReason))
/** Reasons that earlier versions do not know, and would take for a response that can't be read. */
const recentReasons = new Set([RefusalReason.HostLimit, RefusalReason.InternalError])

/**
 * Formats the field of a relayed request.
 *
 * @param origin What to state
 * @returns Value of the field
 */
export function formatRelayOrigin ({ instance, service, targetsReached }: Omit<RelayOrigin, 'version'>): string {
  return `${encodeURIComponent(instance)} ${encodeURIComponent(service)} ${targetsReached}`
}

/**
 * Parses the field of a relayed request.
 *
 * @param value Value of the field
 * @param version Value of the field with the version, if there is one
 * @returns What they state, or `undefined` if the first one is missing or invalid
 */
export function parseRelayOrigin (value: string | undefined, version = ''): RelayOrigin | undefined {
  const match = originPattern.exec(value ?? '')
  const [instance, service] = [decodeName(match?.[1]), decodeName(match?.[2])]
  return instance === undefined || service === undefined ? undefined : { instance, service, targetsReached: Number(match![3]), version: versionPattern.test(version) ? Number(version) : 0 }
}

/**
 * Formats the field of the response to a relayed request.
 *
 * @param result What to state
 * @returns Value of the field
 */
export function formatRelayResult ({ targetId, targetsReached }: RelayResult): string {
  return `${targetId === undefined ? noTarget : encodeURIComponent(targetId)} ${targetsReached}`
}

/**
 * Parses the field of the response to a relayed request.
 *
 * @param value Value of the field
 * @returns What it states, or `undefined` if it is missing or invalid
 */
export function parseRelayResult (value: string | undefined): RelayResult | undefined {
  const match = resultPattern.exec(value ?? '')
  if (match === null) return undefined
  const targetId = match[1] === noTarget ? undefined : decodeName(match[1])
  return targetId === undefined && match[1] !== noTarget ? undefined : { targetId, targetsReached: Number(match[2]) }
}

/**
 * Reads the refusal of a relayed request.
 *
 * @param head Head of the response
 * @param peer Name of the instance that refused the request
 * @returns The refusal, or `undefined` if the response is not one
 */
export function readRelayRefusal ({ fields }: ResponseHead, peer: string): Refusal | undefined {
  const reason = fields['bilberry-reason'] ?? ''
  if (!reasons.has(reason)) return undefined
  const detail = `Instance "${peer}", through which the request was sent, refused it`
  if (fields['bilberry-outcome'] === Outcome.Unknown) return createUnknownRefusal(reason as RefusalReason, detail)
  if (fields['bilberry-outcome'] !== Outcome.NotRun) return undefined
  const retryAfterMs = Number(fields['bilberry-retry-after-ms'])
  return createNotRunRefusal(reason as RefusalReason, detail, Number.isFinite(retryAfterMs) ? retryAfterMs : undefined)
}

/**
 * Sets the fields of a refusal of a relayed request.
 *
 * @param response The response, whose head has not been sent
 * @param options Identifier of the attempt, and the number of targets that may have received it through this instance
 */
export function writeRelayFields (response: ServerResponse, { attemptId, targetsReached }: { attemptId: string, targetsReached: number }): void {
  response.setHeader(attemptIdHeader, attemptId)
  response.setHeader(relayHeader, formatRelayResult({ targetId: undefined, targetsReached }))
}

/** Decodes a name; `undefined` if it is missing or invalid. */
function decodeName (text: string | undefined): string | undefined {
  try {
    return text === undefined ? undefined : decodeURIComponent(text)
  } catch {
    return undefined
  }
}

/**
 * Maps the refusal of a relayed request to one that earlier versions of the relaying instance can read.
 *
 * @param refusal The refusal
 * @returns The refusal, with a reason of the same outcome that all versions know
 */
export function mapRelayedRefusal (refusal: Refusal): Refusal {
  if (!recentReasons.has(refusal.reason)) return refusal
  return { ...refusal, reason: refusal.outcome === Outcome.NotRun ? RefusalReason.RelayLimit : RefusalReason.TargetLost }
}
