package org.lentilsail.model.settings;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Address of a server.
 *
 * @param host IP address or host name
 * @param port TCP port, 0 for one that the operating system chooses
 */
public record HostPort(String host, int port) {
  /** Pattern of an address; IPv6 addresses are in brackets. */
  private static final Pattern PATTERN =
      Pattern.compile("(\\[[0-9a-fA-F:.]+]|[^\\s:\\[\\]]+):(\\d{1,5})");

  /** Maximum TCP port. */
  private static final int MAX_PORT = 65_535;

  /**
   * Parses an address.
   *
   * @param text the address as {@code host:port}
   * @return the address, empty when the text is not an address
   */
  public static Optional<HostPort> parse(final String text) {
    final Matcher matcher = PATTERN.matcher(text);
    return matcher.matches() && Integer.parseInt(matcher.group(2)) <= MAX_PORT
        ? Optional.of(new HostPort(matcher.group(1), Integer.parseInt(matcher.group(2))))
        : Optional.empty();
  }

  /** Returns the address as a socket address. */
  public InetSocketAddress socketAddress() {
    return new InetSocketAddress(host.replace("[", "").replace("]", ""), port);
  }

  /** Returns the address as {@code host:port}. */
  @Override
  public String toString() {
    return host + ":" + port;
  }
}
