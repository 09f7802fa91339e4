//! What the kernel has of a program's connections.

use std::collections::HashSet;

/// The states of a connection that the stories go by, as /proc/net/tcp says them.
const ESTABLISHED: &str = "01";
const LISTENS: &str = "0A";

/// One line of /proc/net/tcp.
struct Entry<'a> {
    own: &'a str,
    peer: &'a str,
    state: &'a str,
    unheard: bool,
    inode: &'a str,
}

fn read(line: &str) -> Option<Entry<'_>> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let unheard = fields.get(4)?.split(':').next()? != "00000000";
    Some(Entry { own: fields[1], peer: fields[2], state: fields[3], unheard, inode: fields.get(9)? })
}

/// Whether all that was said and ended towards this process has reached its end of each connection, also of those that it has
/// not accepted yet. On a busy machine the kernel may be late with what it passes from one end to the other.
pub fn has_all_for(process: u32) -> bool {
    let Ok(files) = std::fs::read_dir(format!("/proc/{process}/fd")) else { return true };
    let links = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
    let sockets: HashSet<String> = links
        .filter_map(|link| Some(link.to_str()?.strip_prefix("socket:[")?.trim_end_matches(']').to_string()))
        .collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let entries: Vec<Entry> = table.lines().skip(1).filter_map(read).collect();
    let listens: HashSet<&str> =
        entries.iter().filter(|e| e.state == LISTENS && sockets.contains(e.inode)).map(|e| e.own).collect();
    let of_process = |e: &&Entry| sockets.contains(e.inode) || listens.contains(e.own);
    entries.iter().filter(|e| e.state == ESTABLISHED).filter(of_process).all(|e| {
        let other = entries.iter().find(|o| o.own == e.peer && o.peer == e.own);
        other.is_some_and(|other| other.state == ESTABLISHED && !other.unheard)
    })
}
