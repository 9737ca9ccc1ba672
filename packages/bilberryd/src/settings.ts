/**
 * Settings of an entry instance: parses them as JSON, validates them by schema, and reports all findings in one result.
 *
 * @module
 */
import type { ErrorObject } from 'ajv'
import type { Result } from 'neverthrow'
import { readFileSync } from 'node:fs'
import { Ajv } from 'ajv'
import { err, ok } from 'neverthrow'
import { settingsSchema } from './settings_schema.ts'

/** Certificate and key of a listener. Each is PEM text or the path of a PEM file, which is read again on SIGHUP. */
export interface TlsSettings {
  /** Certificate chain. */
  certificate: string
  /** Private key. */
  key: string
}

/** An address to listen on. */
export interface ListenSettings {
  /** IP address. */
  host: string
  /** TCP port; 0 for a free port assigned by the operating system. */
  port: number
  /** Certificate and key; plain TCP by default. */
  tls?: TlsSettings
}

/** TLS settings for calls to peers. */
export interface PeerTlsSettings {
  /** Certificate of the authority that signed the peers' certificates: PEM text or the path of a PEM file. */
  ca: string
  /** Name that the peers' certificates must hold; by default, the IP address called. */
  serverName?: string
}

/** Capacity of the link between two regions. */
export interface LinkSettings {
  /** The two regions, in any order. */
  regions: [string, string]
  /** Capacity in each direction, in bits per second. */
  bitsPerSecond: number
  /** Largest number of instances of one region that may send over the link at the same time. */
  senders: number
}

/** An operator's token, which authorizes access to the documents of one team. */
export interface TokenSettings {
  /** Name of the author in the history of a document. */
  name: string
  /** Team whose documents the token gives access to. */
  team: string
  /** SHA-256 of the token, in hexadecimal. */
  sha256: string
}

/** Settings of an entry instance. */
export interface Settings {
  /** Name of the instance. */
  instance: string
  /** Failure domain of the instance. */
  failureDomain: string
  /** Region of the instance. */
  region: string
  /** URL of the platform, `http://host:port`. */
  platformUrl: string
  /** Region of each failure domain that has targets. A failure domain without an entry is a region of the same name. */
  regions?: Record<string, string>
  /** Listening addresses. */
  listen: {
    /** Address of the listener for callers. */
    callers: ListenSettings
    /** Address of the listener for operators. */
    operators: ListenSettings
    /** Address of the listener for peer instances. */
    peers: ListenSettings
  }
  /** `host:port` under which clients and peers reach the listeners, if it differs from the listening address. */
  advertise?: {
    /** Address for callers. */
    callers?: string
    /** Address for peer instances. */
    peers?: string
  }
  /** Local address of outgoing connections. */
  localAddress?: string
  /** Keys with which instances authenticate each other. The first one is sent; each one is accepted. */
  peerKeys: string[]
  /** TLS settings for calls to peers; plain TCP by default. */
  peerTls?: PeerTlsSettings
  /** `host:port` of peers to contact besides the known ones, so that an instance can start during a platform outage. */
  seedPeers: string[]
  /** Tokens of operators. */
  tokens: TokenSettings[]
  /** Capacity of the link between each pair of regions; a pair without an entry has no limit. */
  links: LinkSettings[]
  /** Longest time that a client may take to send the header fields of a request, in milliseconds. */
  headersTimeoutMs: number
  /** Longest pause between two chunks of a request body, in milliseconds. */
  bodyIdleTimeoutMs: number
  /** Time to live of a look-up response, in seconds. */
  lookUpTtlSeconds: number
  /** Time between two polls of the platform, in milliseconds. */
  pollMs: number
  /** Time between two heartbeats, in milliseconds. */
  heartbeatMs: number
  /** Long-term rate limit of the gossip with peers, in bytes per second; 16384 by default. */
  controlBytesPerSecond?: number
  /** Longest time that a request other than an upload may take at a target, in milliseconds. */
  longestDispatchMs: number
  /** Longest time that a stop waits for requests in flight once look-up responses have expired, in milliseconds. */
  stopLimitMs: number
}

/** A validation error in a JSON text. */
export interface Finding {
  /** JSON pointer to the invalid value. */
  pointer: string
  /** Description of the error and the allowed values. */
  message: string
}

const validateSettings = new Ajv({ allErrors: true, useDefaults: true }).compile<Settings>(settingsSchema)

/**
 * Parses settings.
 *
 * @param text The JSON text
 * @returns The settings with defaults applied, or all findings
 */
export function parseSettings (text: string): Result<Settings, Finding[]> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    return err([{ pointer: '', message: `Text is not JSON: ${(error as Error).message}` }])
  }
  if (validateSettings(value)) return ok(value)
  return err((validateSettings.errors ?? []).map(error => ({
    pointer: locateFinding(error),
    message: `${error.message ?? 'is not allowed'}${describeParams(error.params)}`
  })))
}

/**
 * Reads settings from a file.
 *
 * @param path Path of the file
 * @returns The settings with defaults applied, or all findings
 */
export function readSettings (path: string): Result<Settings, Finding[]> {
  try {
    return parseSettings(readFileSync(path, 'utf8'))
  } catch (error) {
    return err([{ pointer: '', message: `File can't be read: ${(error as Error).message}` }])
  }
}

/** Returns the pointer to a missing or unknown key; ajv points to the object around the key. */
function locateFinding (error: ErrorObject): string {
  const { missingProperty, additionalProperty } = error.params as { missingProperty?: string, additionalProperty?: string }
  const name = missingProperty ?? additionalProperty
  return name === undefined ? error.instancePath : `${error.instancePath}/${name.replaceAll('~', '~0').replaceAll('/', '~1')}`
}

function describeParams (params: Record<string, unknown>): string {
  const unknownKey = params['additionalProperty']
  if (typeof unknownKey === 'string') return `: unknown key "${unknownKey}"`
  const allowed = params['allowedValues']
  return Array.isArray(allowed) ? `: ${allowed.join(', ')}` : ''
}
