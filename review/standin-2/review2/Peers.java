package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Locale;

/** Finds the daemon at the other end of a connection, by the sockets of its process. */
final class Peers {
  private Peers() {}

  /** Returns the name of the daemon, empty if it is none of them. */
  static String owner(final Socket accepted, final Collection<Daemon> daemons) {
    try {
      final String inode = inode(accepted);
      for (final Daemon daemon : daemons) {
        if (!inode.isEmpty() && holds(daemon.pid(), "socket:[" + inode + "]")) {
          return daemon.name;
        }
      }
    } catch (final IOException error) {
      // The process has ended.
    }
    return "";
  }

  private static String inode(final Socket accepted) throws IOException {
    final String peer = hex(accepted.getInetAddress(), accepted.getPort());
    final String own = hex(accepted.getLocalAddress(), accepted.getLocalPort());
    for (final String file : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
      for (final String line : Files.readAllLines(Path.of(file))) {
        final String[] fields = line.trim().split("\\s+");
        if (fields.length > 9 && fields[1].endsWith(peer) && fields[2].endsWith(own)) {
          return fields[9];
        }
      }
    }
    return "";
  }

  /** Formats an address as the kernel does on a little-endian machine. */
  private static String hex(final InetAddress address, final int port) {
    final byte[] bytes = address.getAddress();
    return String.format("%02X%02X%02X%02X:%04X", bytes[3], bytes[2], bytes[1], bytes[0], port)
        .toUpperCase(Locale.ROOT);
  }

  private static boolean holds(final long pid, final String target) throws IOException {
    try (DirectoryStream<Path> open = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
      for (final Path descriptor : open) {
        try {
          if (Files.readSymbolicLink(descriptor).toString().equals(target)) {
            return true;
          }
        } catch (final IOException closed) {
          continue;
        }
      }
    }
    return false;
  }
}
