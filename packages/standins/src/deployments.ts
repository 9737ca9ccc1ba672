/**
 * The two deployments of the users at their real sizes, for tests, benchmarks and the demonstration.
 *
 * @module
 */
import type { ServiceDocument } from '@bilberryworks/steering'
import { Objective, RequestClass } from '@bilberryworks/steering'

/** Name of a deployment. */
export enum DeploymentName {
  Kutiyka = 'kutiyka',
  Trwsio = 'trwsio'
}

/** A service of a deployment. */
export interface DeploymentService {
  /** Name of the service. */
  name: string
  /** Number of its targets. */
  targets: number
  /** Number of slots of each target. */
  slots: number
}

/** A deployment. */
export interface Deployment {
  /** Names of the regions; each region has two failure domains. */
  regions: string[]
  /** The services; the first one takes orders, the second one stores uploads. */
  services: [DeploymentService, DeploymentService]
  /** One-way latency between the failure domains of a region, in milliseconds. */
  domainLatencyMs: number
  /** One-way latency between regions, in milliseconds. */
  regionLatencyMs: number
  /** One-way latency to clients, in milliseconds. */
  clientLatencyMs: number
  /** Capacity of the link between two regions, in each direction, in bits per second. */
  linkBitsPerSecond: number
  /** Objective in the documents of the services. */
  objective: Objective
}

/** Number of entry instances of a deployment. */
export const instanceCount = 7

/** Deployments by name. */
export const deployments: Record<DeploymentName, Deployment> = {
  [DeploymentName.Kutiyka]: {
    regions: ['sofia', 'plovdiv', 'varna'],
    services: [{ name: 'lunchbox-api', targets: 20, slots: 3 }, { name: 'manifest-store', targets: 12, slots: 3 }],
    domainLatencyMs: 1,
    regionLatencyMs: 55,
    clientLatencyMs: 3,
    linkBitsPerSecond: 4_000_000_000,
    objective: Objective.Headroom
  },
  [DeploymentName.Trwsio]: {
    regions: ['gogledd', 'de', 'canolbarth'],
    services: [{ name: 'bwrdd-trwsio', targets: 22, slots: 5 }, { name: 'storfa-lluniau', targets: 12, slots: 3 }],
    domainLatencyMs: 0.5,
    regionLatencyMs: 12,
    clientLatencyMs: 8,
    linkBitsPerSecond: 280_000_000,
    objective: Objective.Latency
  }
}

/**
 * Lists the failure domains of a deployment.
 *
 * @param deployment The deployment
 * @returns Name and region of each failure domain
 */
export function listFailureDomains (deployment: Deployment): Array<{ failureDomain: string, region: string }> {
  return deployment.regions.flatMap(region => ['a', 'b'].map(suffix => ({ failureDomain: `${region}-${suffix}`, region })))
}

/**
 * Creates the first document of a service, with equal weights for all regions.
 *
 * @param deployment Deployment that the service belongs to
 * @param service The service
 * @returns The document
 */
export function createDocument (deployment: Deployment, service: DeploymentService): ServiceDocument {
  return {
    service: service.name,
    ownerTeam: 'operations',
    regionWeights: Object.fromEntries(deployment.regions.map(region => [region, 1])),
    shiftCap: 0.1,
    shiftStepMs: 10_000,
    leavingTargets: [],
    classes: [
      { methods: ['GET', 'HEAD'], pathPrefix: '/', requestClass: RequestClass.LookUp, deadlineMs: 3_000, priority: 1 },
      { methods: ['PUT'], pathPrefix: '/uploads/', requestClass: RequestClass.Upload, deadlineMs: 60_000, priority: 2 },
      { methods: [], pathPrefix: '/', requestClass: RequestClass.AtMostOnce, deadlineMs: 5_000, priority: 0 }
    ],
    objective: deployment.objective,
    limits: { maxBodyBytes: 1024 * 1024, maxUploadBytes: 4 * 1024 * 1024 * 1024, maxQueued: 256 }
  }
}
