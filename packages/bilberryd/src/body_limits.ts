/**
 * The maximum body size that a service document sets for a request.
 *
 * @module
 */
import type { ServiceRequest } from '@bilberryworks/steering'
import type { ClusterView } from './cluster_view.ts'
import { chooseClassRule, RequestClass } from '@bilberryworks/steering'

/**
 * Finds the maximum body size of a request by its class.
 *
 * @param view The instance's view of the cluster
 * @param request The request
 * @returns The maximum in bytes, or `undefined` when the service has no document
 */
export function findMaxBodyBytes (view: ClusterView, request: ServiceRequest): number | undefined {
  const document = view.getDocument(request.service)?.document
  if (document === undefined) return undefined
  const { requestClass } = chooseClassRule(document, request.method, request.path)
  return requestClass === RequestClass.Upload ? document.limits.maxUploadBytes : document.limits.maxBodyBytes
}
