/**
 * Loopback addresses by which the parts of a deployment on one machine are told apart.
 *
 * `127.0.R.N` is the N-th machine of region R, counted from 1; its failure domain is the last
 * letter's number, `N / 100`. `127.1.x.y` are callers. `127.0.0.1` is outside of the deployment.
 *
 * @module
 */

const domainStride = 100
const domainSuffixes = ['a', 'b']
const callersPerBlock = 250

/** Where something of a deployment is. */
export interface Place {
  /** Failure domain that it is in. */
  failureDomain: string
  /** Region that it is in. */
  region: string
  /** Loopback address of its connections and listeners. */
  host: string
}

/**
 * Locates a failure domain's machine.
 *
 * @param regions Regions in the order of their number
 * @param failureDomain Region and suffix, joined by a hyphen
 * @param index Number of the machine within its failure domain, from 0
 * @returns The place with its address
 */
export function locateMachine (regions: string[], failureDomain: string, index: number): Place {
  const region = failureDomain.slice(0, failureDomain.lastIndexOf('-'))
  const suffix = failureDomain.slice(region.length + 1)
  const number = domainSuffixes.indexOf(suffix) * domainStride + 1 + index
  return { failureDomain, region, host: `127.0.${regions.indexOf(region) + 1}.${number}` }
}

/**
 * Locates the source of a connection.
 *
 * @param address Its IP number
 * @param regions Regions in the order of their number
 * @returns The place, or `undefined` for callers and what else is outside of the deployment
 */
export function locateSource (address: string, regions: string[]): Place | undefined {
  const [first, second, third, fourth] = address.split('.').map(Number)
  const region = regions[(third ?? 0) - 1]
  if (first !== 127 || second !== 0 || region === undefined) return undefined
  const suffix = domainSuffixes[Math.floor((fourth ?? 0) / domainStride)] ?? ''
  return { failureDomain: `${region}-${suffix}`, region, host: address }
}

/**
 * Computes the address of a caller.
 *
 * @param index Number of the caller, from 0
 * @returns An address of its own in 127.1.0.0/16
 */
export function computeCallerAddress (index: number): string {
  return `127.1.${Math.floor(index / callersPerBlock)}.${index % callersPerBlock + 1}`
}
