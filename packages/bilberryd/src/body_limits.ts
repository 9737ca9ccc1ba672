/**
 * The longest body that a service's document allows a request.
 *
 * @module
 */
import type { ServiceRequest } from '@bilberryworks/steering'
import type { ClusterView } from './cluster_view.ts'
import { chooseClassRule, RequestClass } from '@bilberryworks/steering'

/**
 * Finds the longest body of a request.
 *
 * @param view What the instance knows
 * @param request The request
 * @returns Bytes, or `undefined` where the service has no document
 */
export function findMaxBodyBytes (view: ClusterView, request: ServiceRequest): number | undefined {
  const document = view.getDocument(request.service)?.document
  if (document === undefined) return undefined
  const { requestClass } = chooseClassRule(document, request.method, request.path)
  return requestClass === RequestClass.Upload ? document.limits.maxUploadBytes : document.limits.maxBodyBytes
}
