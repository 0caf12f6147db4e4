/** Schemas of single fields, whose messages say how to fix a wrong value. */
import {Schema} from 'effect';

/** An id: 1 to 64 lower-case letters, digits, dots and dashes, starting with a letter or digit. */
export const Identifier = Schema.String.pipe(
  Schema.pattern(/^[a-z0-9][a-z0-9.-]{0,63}$/, {
    message: () =>
      'use 1 to 64 lower-case letters, digits, dots or dashes, starting with a letter or digit',
  }),
);

/** An IPv4 or IPv6 address. */
export const IpAddress = Schema.String.pipe(
  Schema.pattern(/^(\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*)$/, {
    message: () => 'use an IP address, for example 127.0.0.1',
  }),
);

/** A TCP or UDP port. */
export const Port = wholeNumberBetween(1, 65535);

/** A whole number from `min` to `max`, inclusive. */
export function wholeNumberBetween(min: number, max: number) {
  return Schema.Number.pipe(
    Schema.filter(value => Number.isInteger(value) && value >= min && value <= max, {
      message: () => `use a whole number from ${min} to ${max}`,
    }),
  );
}

/** A number from `min` to `max`, inclusive. */
export function numberBetween(min: number, max: number) {
  return Schema.Number.pipe(
    Schema.filter(value => value >= min && value <= max, {
      message: () => `use a number from ${min} to ${max}`,
    }),
  );
}

/** An IP address with a port. */
export const SocketAddressSchema = Schema.Struct({host: IpAddress, port: Port});
