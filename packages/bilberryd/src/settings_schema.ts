/**
 * JSON Schema of the settings of an entry instance.
 *
 * @module
 */

const namePattern = '^[A-Za-z0-9_-]{1,64}$'
const addressPattern = '^(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}$'

const tls = {
  type: 'object',
  additionalProperties: false,
  required: ['certificate', 'key'],
  properties: {
    certificate: { type: 'string', minLength: 1 },
    key: { type: 'string', minLength: 1 }
  }
}

const listen = {
  type: 'object',
  additionalProperties: false,
  required: ['host', 'port'],
  properties: {
    host: { type: 'string', minLength: 1 },
    port: { type: 'integer', minimum: 0, maximum: 65535 },
    tls
  }
}

const peerTls = {
  type: 'object',
  additionalProperties: false,
  required: ['ca'],
  properties: {
    ca: { type: 'string', minLength: 1 },
    serverName: { type: 'string', minLength: 1 }
  }
}

const link = {
  type: 'object',
  additionalProperties: false,
  required: ['regions', 'bitsPerSecond'],
  properties: {
    regions: { type: 'array', minItems: 2, maxItems: 2, uniqueItems: true, items: { type: 'string', pattern: namePattern } },
    bitsPerSecond: { type: 'integer', minimum: 1 },
    senders: { type: 'integer', minimum: 1, maximum: 1_000, default: 8 }
  }
}

const token = {
  type: 'object',
  additionalProperties: false,
  required: ['name', 'team', 'sha256'],
  properties: {
    name: { type: 'string', minLength: 1 },
    team: { type: 'string', minLength: 1 },
    sha256: { type: 'string', pattern: '^[0-9a-f]{64}$' }
  }
}

/** JSON Schema (draft 07) of the settings. */
export const settingsSchema = {
  type: 'object',
  additionalProperties: false,
  required: ['instance', 'failureDomain', 'region', 'platformUrl', 'listen', 'peerKeys'],
  properties: {
    instance: { type: 'string', pattern: namePattern },
    failureDomain: { type: 'string', pattern: namePattern },
    region: { type: 'string', pattern: namePattern },
    platformUrl: { type: 'string', pattern: '^http://' },
    regions: { type: 'object', additionalProperties: { type: 'string', pattern: namePattern } },
    listen: {
      type: 'object',
      additionalProperties: false,
      required: ['callers', 'operators', 'peers'],
      properties: { callers: listen, operators: listen, peers: listen }
    },
    advertise: {
      type: 'object',
      additionalProperties: false,
      properties: {
        callers: { type: 'string', pattern: addressPattern },
        peers: { type: 'string', pattern: addressPattern }
      }
    },
    localAddress: { type: 'string', minLength: 1 },
    peerKeys: { type: 'array', minItems: 1, maxItems: 2, items: { type: 'string', minLength: 16 } },
    seedPeers: { type: 'array', items: { type: 'string', pattern: addressPattern }, default: [] },
    peerTls,
    tokens: { type: 'array', items: token, default: [] },
    links: { type: 'array', items: link, default: [] },
    headersTimeoutMs: { type: 'integer', minimum: 100, maximum: 600_000, default: 10_000 },
    bodyIdleTimeoutMs: { type: 'integer', minimum: 100, maximum: 600_000, default: 30_000 },
    lookUpTtlSeconds: { type: 'integer', minimum: 1, maximum: 300, default: 5 },
    pollMs: { type: 'integer', minimum: 50, maximum: 60_000, default: 1_000 },
    heartbeatMs: { type: 'integer', minimum: 100, maximum: 60_000, default: 3_000 },
    controlBytesPerSecond: { type: 'integer', minimum: 256, maximum: 1_000_000_000, default: 16_384 },
    longestDispatchMs: { type: 'integer', minimum: 100, maximum: 600_000, default: 10_000 },
    stopLimitMs: { type: 'integer', minimum: 0, maximum: 3_600_000, default: 120_000 }
  }
}
