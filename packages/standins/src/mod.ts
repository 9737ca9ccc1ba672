/**
 * Stand-ins of the platform and the targets, for tests and the demonstration.
 *
 * @module
 */
export * from './bench_capacity.ts'
export * from './caller.ts'
export * from './child.ts'
export * from './cluster.ts'
export * from './deployments.ts'
export * from './listeners.ts'
export * from './site_store.ts'
export * from './target_standin.ts'
