/**
 * Determines the class of a request from its method, its path and the service's document.
 *
 * @module
 */
import type { ClassRule, ServiceDocument } from './document.ts'
import { RequestClass } from './outcomes.ts'

const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS'])
const defaultDeadlineMs = 10_000
const lowestPriority = 9

/**
 * Chooses the class rule for a request: the first matching rule of the document, otherwise a safe default.
 *
 * Without a matching rule, GET, HEAD and OPTIONS are look-ups and every other method runs at most once.
 *
 * @param document The service's document
 * @param method HTTP method, in upper case
 * @param path Path after the service's name, with the leading slash
 * @returns The rule that applies
 */
export function chooseClassRule (document: ServiceDocument, method: string, path: string): ClassRule {
  for (const rule of document.classes) {
    if (rule.methods.length > 0 && !rule.methods.includes(method)) continue
    if (path.startsWith(rule.pathPrefix)) return rule
  }
  const requestClass = idempotentMethods.has(method) ? RequestClass.LookUp : RequestClass.AtMostOnce
  return { methods: [], pathPrefix: '/', requestClass, deadlineMs: defaultDeadlineMs, priority: lowestPriority }
}
