/**
 * Fakes of the platform and of targets, simulated callers, and a cluster of local processes, for tests, benchmarks
 * and the demonstration.
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
export * from './fake_target.ts'
