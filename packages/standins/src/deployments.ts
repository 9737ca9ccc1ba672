/**
 * The two deployments of the users, at their sizes of today.
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
  /** Slots of each target. */
  slots: number
}

/** A deployment. */
export interface Deployment {
  /** Its regions; each has two failure domains. */
  regions: string[]
  /** Its services, the one that takes orders first. */
  services: [DeploymentService, DeploymentService]
  /** One-way latency between failure domains of a region, in milliseconds. */
  domainLatencyMs: number
  /** One-way latency between regions, in milliseconds. */
  regionLatencyMs: number
  /** One-way latency to clients, in milliseconds. */
  clientLatencyMs: number
  /** Capacity between two regions, each way, in bits a second. */
  linkBitsPerSecond: number
  /** What the services weigh most. */
  objective: Objective
}

/** Entry instances of a deployment. */
export const instanceCount = 7

/** The deployments by name. */
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
 * @returns Name and region of each
 */
export function listFailureDomains (deployment: Deployment): Array<{ failureDomain: string, region: string }> {
  return deployment.regions.flatMap(region => ['a', 'b'].map(suffix => ({ failureDomain: `${region}-${suffix}`, region })))
}

/**
 * Creates the first document of a service.
 *
 * @param deployment The deployment
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
