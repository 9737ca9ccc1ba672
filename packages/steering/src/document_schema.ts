/**
 * JSON Schema of service documents.
 *
 * @module
 */
import { Objective, RequestClass } from './outcomes.ts'

const namePattern = '^[a-zA-Z0-9]([a-zA-Z0-9_.-]{0,62}[a-zA-Z0-9])?$'
const maxRegions = 64
const maxLeavingTargets = 10_000
const maxClasses = 256
const maxWeight = 1_000_000_000
const minStepMs = 1_000
const maxStepMs = 86_400_000
const maxDeadlineMs = 3_600_000
const maxPriority = 9
const maxQueuedRequests = 65_536

/** Schema of a name; `constructor` is not allowed, because reading that key from a plain object returns the inherited member. */
const nameSchema = { type: 'string', pattern: namePattern, not: { enum: ['constructor'] } }

const classRuleSchema = {
  type: 'object',
  additionalProperties: false,
  required: ['methods', 'pathPrefix', 'requestClass', 'deadlineMs', 'priority'],
  properties: {
    methods: { type: 'array', uniqueItems: true, items: { type: 'string', pattern: '^[A-Z]{1,16}$' } },
    pathPrefix: { type: 'string', pattern: '^/', maxLength: 1_024 },
    requestClass: { enum: Object.values(RequestClass) },
    deadlineMs: { type: 'integer', minimum: 1, maximum: maxDeadlineMs },
    priority: { type: 'integer', minimum: 0, maximum: maxPriority }
  }
}

const limits = {
  type: 'object',
  additionalProperties: false,
  required: ['maxBodyBytes', 'maxUploadBytes', 'maxQueued'],
  properties: {
    maxBodyBytes: { type: 'integer', minimum: 0, maximum: Number.MAX_SAFE_INTEGER },
    maxUploadBytes: { type: 'integer', minimum: 0, maximum: Number.MAX_SAFE_INTEGER },
    maxQueued: { type: 'integer', minimum: 0, maximum: maxQueuedRequests }
  }
}

/** JSON Schema of a service document, draft 07. */
export const documentSchema = {
  type: 'object',
  additionalProperties: false,
  required: ['service', 'ownerTeam', 'regionWeights', 'shiftCap', 'shiftStepMs', 'leavingTargets', 'classes', 'objective', 'limits'],
  properties: {
    service: nameSchema,
    ownerTeam: { type: 'string', minLength: 1, maxLength: 64 },
    handOverTo: { type: 'string', minLength: 1, maxLength: 64 },
    regionWeights: {
      type: 'object',
      minProperties: 1,
      maxProperties: maxRegions,
      propertyNames: nameSchema,
      additionalProperties: { type: 'number', minimum: 0, maximum: maxWeight }
    },
    shiftCap: { type: 'number', minimum: 0, maximum: 1 },
    shiftStepMs: { type: 'integer', minimum: minStepMs, maximum: maxStepMs },
    leavingTargets: { type: 'array', maxItems: maxLeavingTargets, uniqueItems: true, items: nameSchema },
    classes: { type: 'array', maxItems: maxClasses, items: classRuleSchema },
    objective: { enum: Object.values(Objective) },
    limits
  }
}
