/** The decisions that an entry takes for each request. */
export * from './steering_types';
