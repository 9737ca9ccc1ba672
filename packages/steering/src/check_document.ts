/**
 * Validation of service documents: first against the JSON Schema, then against the service, its targets and the document in force.
 *
 * @module
 */
import type { ErrorObject } from 'ajv'
import type { Result } from 'neverthrow'
import type { ServiceDocument } from './document.ts'
import type { TargetRecord } from './inventory.ts'
import { Ajv } from 'ajv'
import { err, ok } from 'neverthrow'
import { documentSchema } from './document_schema.ts'
import { LifecycleState } from './inventory.ts'
import { computeMovedShare, computeShares, minMovedShare } from './weight_ramp.ts'

/** One fault of a document. */
export interface DocumentFinding {
  /** JSON pointer to the faulty value. */
  pointer: string
  /** Description of the fault; lists the allowed values if the schema enumerates them. */
  message: string
}

/** Options of {@linkcode checkDocument}. */
export interface CheckDocumentOptions {
  /** Name of the service for which the document is submitted; not checked if absent. */
  service?: string
  /** Document in force for the service; `undefined` if there is none. */
  current?: ServiceDocument | undefined
  /** Known targets of all services; if absent or empty, regions with a weight are not required to have a live target. */
  targets?: TargetRecord[]
}

const validateDocument = new Ajv({ allErrors: true }).compile<ServiceDocument>(documentSchema)

/**
 * Checks a service document.
 *
 * A document that matches the schema is then checked further: it must be for the given service, have a region with a
 * positive weight and a live target in each such region, and not change the weights if its shift cap is 0.
 *
 * @param value The parsed JSON value
 * @param options The service, its document in force and the known targets
 * @returns The document, or the findings of the schema; if there are none, those of the further checks
 * @example
 * ```ts
 * checkDocument({}).mapErr(findings => findings.map(finding => finding.pointer))
 * ```
 */
export function checkDocument (value: unknown, options: CheckDocumentOptions = {}): Result<ServiceDocument, DocumentFinding[]> {
  if (!validateDocument(value)) return err(collectSchemaFindings(validateDocument.errors ?? []))
  const findings = [...checkService(value, options), ...checkRegionWeights(value, options), ...checkShiftCap(value, options)]
  return findings.length > 0 ? err(findings) : ok(value)
}

function collectSchemaFindings (errors: ErrorObject[]): DocumentFinding[] {
  const findings = new Map<string, DocumentFinding>()
  for (const error of errors) {
    const finding = describeError(error)
    findings.set(`${finding.pointer} ${finding.message}`, finding)
  }
  return [...findings.values()]
}

function describeError (error: ErrorObject): DocumentFinding {
  const params = error.params as Record<string, unknown>
  const key = params['additionalProperty'] ?? params['missingProperty'] ?? error.propertyName ?? params['propertyName']
  const pointer = key === undefined ? error.instancePath : formatPointer(error.instancePath, String(key))
  const allowed = Array.isArray(params['allowedValues']) ? `: ${params['allowedValues'].join(', ')}` : ''
  return { pointer, message: describeKeyword(error) ?? `${error.message ?? 'is not allowed'}${allowed}` }
}

function describeKeyword (error: ErrorObject): string | undefined {
  switch (error.keyword) {
    case 'additionalProperties': return 'is an unknown key'
    case 'required': return 'is missing'
    case 'propertyNames': return 'is not a valid name'
    case 'not': return 'is a reserved name'
    default: return undefined
  }
}

/** Appends a key to a JSON pointer, escaped according to RFC 6901. */
function formatPointer (parent: string, key: string): string {
  return `${parent}/${key.replaceAll('~', '~0').replaceAll('/', '~1')}`
}

function checkService (document: ServiceDocument, options: CheckDocumentOptions): DocumentFinding[] {
  if (options.service === undefined || options.service === document.service) return []
  return [{ pointer: '/service', message: `is "${document.service}", but the document is submitted for "${options.service}"` }]
}

function checkRegionWeights (document: ServiceDocument, options: CheckDocumentOptions): DocumentFinding[] {
  const regions = Object.keys(computeShares(document.regionWeights))
  if (regions.length === 0) return [{ pointer: '/regionWeights', message: 'must have a region with a weight above 0' }]
  const targets = options.targets ?? []
  if (targets.length === 0) return []
  const leaving = new Set(document.leavingTargets)
  const servedRegions = new Set(targets.filter(target => {
    return target.service === document.service && target.state === LifecycleState.Live && !leaving.has(target.target)
  }).map(target => target.region))
  return regions.filter(region => !servedRegions.has(region)).map(region => ({
    pointer: formatPointer('/regionWeights', region),
    message: `has a weight, but no live target of "${document.service}" is known in this region`
  }))
}

function checkShiftCap (document: ServiceDocument, options: CheckDocumentOptions): DocumentFinding[] {
  if (document.shiftCap > 0 || options.current === undefined) return []
  const movedShare = computeMovedShare(computeShares(options.current.regionWeights), computeShares(document.regionWeights))
  return movedShare < minMovedShare ? [] : [{ pointer: '/shiftCap', message: 'is 0, which forbids any change of the region weights' }]
}
