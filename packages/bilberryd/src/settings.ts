/**
 * Settings of an entry instance: JSON, checked by schema, every finding at once.
 *
 * @module
 */
import type { ErrorObject } from 'ajv'
import type { Result } from 'neverthrow'
import { readFileSync } from 'node:fs'
import { Ajv } from 'ajv'
import { err, ok } from 'neverthrow'
import { settingsSchema } from './settings_schema.ts'

/** Certificate and key of a listener; each is PEM text or the path of a PEM file, read again on SIGHUP. */
export interface TlsSettings {
  /** Certificate chain. */
  certificate: string
  /** Private key. */
  key: string
}

/** An address to listen on. */
export interface ListenSettings {
  /** IP number. */
  host: string
  /** TCP port; 0 for one that the system chooses. */
  port: number
  /** Certificate and key; plain TCP where absent. */
  tls?: TlsSettings
}

/** How peers are called over TLS. */
export interface PeerTlsSettings {
  /** Certificate authority of the peers: PEM text or the path of a PEM file. */
  ca: string
  /** Name that the peers' certificates carry; their IP number where absent. */
  serverName?: string
}

/** Capacity of the link between two regions. */
export interface LinkSettings {
  /** The two regions, in any order. */
  regions: [string, string]
  /** Capacity each way, in bits a second. */
  bitsPerSecond: number
  /** Largest number of instances of one region that may use the link at the same time. */
  senders: number
}

/** A token of a team. */
export interface TokenSettings {
  /** Name shown in histories. */
  name: string
  /** Team whose documents the token opens. */
  team: string
  /** SHA-256 of the token, in hexadecimal. */
  sha256: string
}

/** Settings of an entry instance. */
export interface Settings {
  /** Name of the instance. */
  instance: string
  /** Failure domain that it is in. */
  failureDomain: string
  /** Region that it is in. */
  region: string
  /** `http://host:port` of the platform. */
  platformUrl: string
  /** Region of each failure domain that has targets; one that is missing is a region by itself. */
  regions?: Record<string, string>
  /** Where to listen. */
  listen: {
    /** For callers. */
    callers: ListenSettings
    /** For operators. */
    operators: ListenSettings
    /** For peer instances. */
    peers: ListenSettings
  }
  /** `host:port` under which others reach the listeners, where it differs from the listening address. */
  advertise?: {
    /** For callers. */
    callers?: string
    /** For peer instances. */
    peers?: string
  }
  /** Local address of outgoing connections. */
  localAddress?: string
  /** Keys between instances, the one to send first. */
  peerKeys: string[]
  /** How peers are called over TLS; plain TCP where absent. */
  peerTls?: PeerTlsSettings
  /** `host:port` of peers to ask at start when the platform is out. */
  seedPeers: string[]
  /** Tokens of operators. */
  tokens: TokenSettings[]
  /** Capacity by pair of regions; no limit where a pair is absent. */
  links: LinkSettings[]
  /** Longest time that a client may take to send the header fields of a request, in milliseconds. */
  headersTimeoutMs: number
  /** Longest pause within the body of a request, in milliseconds. */
  bodyIdleTimeoutMs: number
  /** Lifetime of a look-up's answer, in seconds. */
  lookUpTtlSeconds: number
  /** Time between two polls of the platform, in milliseconds. */
  pollMs: number
  /** Time between two heartbeats, in milliseconds. */
  heartbeatMs: number
  /** Bytes that exchanges with peers may take each second in the long run; 16384 by default. */
  controlBytesPerSecond?: number
  /** Longest time that a request other than an upload may take at a target, in milliseconds. */
  longestDispatchMs: number
  /** Longest time that a stop waits for requests in flight, in milliseconds. */
  stopLimitMs: number
}

/** One thing that is wrong with a JSON text. */
export interface Finding {
  /** JSON pointer to the place. */
  pointer: string
  /** What is wrong and what is allowed. */
  message: string
}

const checkSchema = new Ajv({ allErrors: true, useDefaults: true }).compile<Settings>(settingsSchema)

/**
 * Parses settings.
 *
 * @param text The JSON text
 * @returns The settings with defaults filled in, or every finding
 */
export function parseSettings (text: string): Result<Settings, Finding[]> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    return err([{ pointer: '', message: `Text is not JSON: ${(error as Error).message}` }])
  }
  if (checkSchema(value)) return ok(value)
  return err((checkSchema.errors ?? []).map(error => ({
    pointer: locateFinding(error),
    message: `${error.message ?? 'is not allowed'}${describeParams(error.params)}`
  })))
}

/**
 * Reads settings from a file.
 *
 * @param path Path of the file
 * @returns The settings, or every finding
 */
export function readSettings (path: string): Result<Settings, Finding[]> {
  try {
    return parseSettings(readFileSync(path, 'utf8'))
  } catch (error) {
    return err([{ pointer: '', message: `File can't be read: ${(error as Error).message}` }])
  }
}

/** Returns the pointer to the place itself, where ajv points to the object around it. */
function locateFinding (error: ErrorObject): string {
  const { missingProperty, additionalProperty } = error.params as { missingProperty?: string, additionalProperty?: string }
  const name = missingProperty ?? additionalProperty
  return name === undefined ? error.instancePath : `${error.instancePath}/${name.replaceAll('~', '~0').replaceAll('/', '~1')}`
}

function describeParams (params: Record<string, unknown>): string {
  const unknown = params['additionalProperty']
  if (typeof unknown === 'string') return `: unknown key "${unknown}"`
  const allowed = params['allowedValues']
  return Array.isArray(allowed) ? `: ${allowed.join(', ')}` : ''
}
