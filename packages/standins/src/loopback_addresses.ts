/**
 * Maps the machines of a simulated deployment to loopback addresses, so that the source address of a connection
 * identifies the region and failure domain it comes from.
 *
 * `127.0.R.N` is machine N of region R, both counted from 1. The hundreds of N, `floor(N / 100)`, identify the failure
 * domain within the region: 0 is suffix `a`, 1 is suffix `b`. Callers have the addresses `127.1.x.y`. `127.0.0.1` does
 * not belong to the deployment.
 *
 * @module
 */

const domainStride = 100
const domainSuffixes = ['a', 'b']
const callersPerBlock = 250

/** Location of a machine in a deployment. */
export interface NetworkLocation {
  /** Failure domain of the machine. */
  failureDomain: string
  /** Region of the machine. */
  region: string
  /** Loopback address that the listeners and outgoing connections of the machine use. */
  host: string
}

/**
 * Computes the location of a machine.
 *
 * @param regions Regions in the order of their numbers in addresses
 * @param failureDomain Name of the failure domain: region and suffix, joined by a hyphen
 * @param index Index of the machine within its failure domain, from 0
 * @returns The location with its loopback address
 */
export function locateMachine (regions: string[], failureDomain: string, index: number): NetworkLocation {
  const region = failureDomain.slice(0, failureDomain.lastIndexOf('-'))
  const suffix = failureDomain.slice(region.length + 1)
  const number = domainSuffixes.indexOf(suffix) * domainStride + 1 + index
  return { failureDomain, region, host: `127.0.${regions.indexOf(region) + 1}.${number}` }
}

/**
 * Finds the location that a source address belongs to.
 *
 * @param address IP address of the source
 * @param regions Regions in the order of their numbers in addresses
 * @returns The location; `undefined` for callers and other addresses outside of the deployment
 */
export function locateSource (address: string, regions: string[]): NetworkLocation | undefined {
  const [first, second, third, fourth] = address.split('.').map(Number)
  const region = regions[(third ?? 0) - 1]
  if (first !== 127 || second !== 0 || region === undefined) return undefined
  const suffix = domainSuffixes[Math.floor((fourth ?? 0) / domainStride)] ?? ''
  return { failureDomain: `${region}-${suffix}`, region, host: address }
}

/**
 * Computes the source address of a caller.
 *
 * @param index Index of the caller, from 0
 * @returns An address in 127.1.0.0/16 that no other caller has
 */
export function computeCallerAddress (index: number): string {
  return `127.1.${Math.floor(index / callersPerBlock)}.${index % callersPerBlock + 1}`
}
